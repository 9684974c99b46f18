// What a new owner concludes from the table and the workers' reports.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const TaskName kTask{{"00000000000000aa"}, 0, 0, 0};

TEST_CASE("failures listed out of order after a takeover all count") {
  // Found by a bug hunt: the end of the later run was read first, and
  // that of the earlier run was then ignored.
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.End("w1", kTask, {12}, RunEnding::kFailed);
  fixture.End("w2", kTask, {11}, RunEnding::kFailed);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kTask.job.value, "batch",
                                       {DispatcherFixture::Step(1, 1)}),
                {}});
  fixture.FinishLoading();
  fixture.Advance(500ms);
  CHECK(fixture.starts.empty());
  REQUIRE(fixture.progress.contains(kTask.job));
  CHECK(fixture.progress.at(kTask.job).phase == JobPhase::kFailed);
}

TEST_CASE("no task of an old job starts until every worker has answered") {
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.unresponsive["w2"] = true;
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kTask.job.value, "batch",
                                       {DispatcherFixture::Step(1, 1)}),
                {}});
  fixture.FinishLoading();
  fixture.Advance(8s);
  CHECK(fixture.starts.empty());
  SECTION("the silent worker answers and runs the task") {
    fixture.reports["w2"].runs.push_back({kTask, {11}, "", 40});
    fixture.unresponsive["w2"] = false;
    fixture.Advance(1s);
    CHECK(fixture.starts.empty());
  }
  SECTION("every lease that the previous owner may have renewed has expired") {
    const Duration longest =
        fixture.settings.max_lease + fixture.predecessors.renew;
    fixture.Advance(longest - 8500ms);
    CHECK(fixture.starts.empty());
    fixture.Advance(1500ms);
    CHECK(fixture.starts.size() == 1);
  }
}

TEST_CASE("a job loaded well after the takeover starts at once") {
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.unresponsive["w2"] = true;
  fixture.FinishLoading();
  fixture.Advance(1600ms);  // The previous owner starts nothing by then.
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kTask.job.value, "batch",
                                       {DispatcherFixture::Step(1, 1)}),
                {}});
  fixture.Advance(200ms);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("later owners do not wait for a worker that has left") {
  // Seen on a large deployment: after a takeover, old jobs waited 15 s for
  // workers that had been removed long before.
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(1s);
  CHECK(fixture.departed.empty());
  SECTION("it announced that it was leaving") {
    WorkerEntry leaving;
    leaving.name.value = "w2";
    leaving.leaving = true;
    fixture.Feed(WorkerListed{leaving});
    fixture.Feed(WorkerUnlisted{{"w2"}});
    fixture.unresponsive["w2"] = true;
    fixture.Advance(200ms);
    CHECK(fixture.departed == std::vector<WorkerName>{{"w2"}});
  }
  SECTION("it stopped answering") {
    fixture.Feed(WorkerUnlisted{{"w2"}});
    fixture.unresponsive["w2"] = true;
    fixture.Advance(fixture.settings.max_lease - 1s);
    CHECK(fixture.departed.empty());
    fixture.Advance(5s);
    CHECK(fixture.departed == std::vector<WorkerName>{{"w2"}});
  }
}

TEST_CASE("an entry that expired behind a cut does not end a leaving worker") {
  // Seen on the large site: workers in a data centre that was cut off were
  // leaving. A new owner took the expiry of their entries, soon after it had
  // loaded them, for their ends, and started a gang that still ran there.
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  WorkerEntry cut;
  cut.name.value = "w2";
  cut.service.value = "matching";
  cut.capacity = {32'000, 128'000, 8};
  cut.leaving = true;
  fixture.unresponsive["w2"] = true;
  fixture.Feed(WorkerEnrolled{cut.name, "127.0.0.1", 1});
  const auto run_waiting_job = [&fixture] {
    fixture.Advance(2s);
    fixture.Feed(WorkerUnlisted{{"w2"}});
    fixture.Advance(5s);
  };
  const auto load = [&fixture] {
    fixture.Feed(JobLoaded{
        DispatcherFixture::Job("a", "batch", {DispatcherFixture::Step(1, 1)}),
        {}});
    fixture.FinishLoading();
  };
  SECTION("the entry was loaded at the takeover") {
    fixture.Feed(WorkerListed{cut});
    load();
    run_waiting_job();
    CHECK(fixture.starts.empty());
  }
  SECTION("the entry was read again as it was") {
    fixture.Feed(WorkerListed{cut});
    load();
    fixture.Advance(2s);
    fixture.Feed(WorkerListed{cut});
    run_waiting_job();
    CHECK(fixture.starts.empty());
  }
  SECTION("the list was not current when the entry changed") {
    WorkerEntry ready = cut;
    ready.leaving = false;
    fixture.Feed(WorkerListed{ready});
    load();
    fixture.list_confirmed = false;
    fixture.Advance(3s);
    fixture.Feed(WorkerListed{cut});
    fixture.list_confirmed = true;
    run_waiting_job();
    CHECK(fixture.starts.empty());
  }
}

TEST_CASE("a worker that has left is not used after a takeover") {
  DispatcherFixture fixture;
  // The table still has it, the platform's list does not.
  fixture.Feed(WorkerEnrolled{{"gone"}, "127.0.0.1", 1});
  fixture.FinishLoading();
  fixture.Feed(JobLoaded{
      DispatcherFixture::Job("a", "batch", {DispatcherFixture::Step(1, 1)}),
      {}});
  fixture.Advance(20s);
  CHECK(fixture.starts.empty());
}

TEST_CASE("a run of an unknown job is stopped and its worker gets no work") {
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.reports["w1"].runs.push_back({kTask, {11}, "", 40});
  fixture.FinishLoading();
  fixture.Advance(200ms);
  CHECK(fixture.stops.empty());  // The previous owner may know the job.
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job("00000000000000bb", "batch",
                                       {DispatcherFixture::Step(1, 1)}),
                {}});
  fixture.Advance(200ms);
  CHECK(fixture.starts.empty());
  fixture.Advance(fixture.predecessors.start);
  CHECK(fixture.stops.size() == 1);
  fixture.Advance(200ms);
  CHECK(fixture.starts.empty());
}

}  // namespace
}  // namespace jasminespar::jobs
