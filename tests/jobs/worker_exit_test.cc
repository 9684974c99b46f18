// Workers that leave in an orderly way.
#include <algorithm>
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};

void SetLeaving(DispatcherFixture& fixture, const std::string& name,
                bool leaving) {
  WorkerEntry entry;
  entry.name.value = name;
  entry.service.value = "matching";
  entry.host = "127.0.0.1";
  entry.port = 1;
  entry.capacity = {32'000, 128'000, 8};
  entry.rack = "r1";
  entry.leaving = leaving;
  fixture.reports[name].leaving = leaving;
  fixture.Feed(WorkerListed{entry});
}

/// Starts a job of one task on one of two workers, which begins to leave and
/// goes on for a while.
/// @return the name of that worker.
std::string StartOnLeavingWorker(DispatcherFixture& fixture) {
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(5s);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(1, 8)}),
                {}});
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const std::string worker = fixture.starts.front().worker.value;
  fixture.AcceptStarts();
  SetLeaving(fixture, worker, true);
  std::uint32_t percent = 0;
  for (int second = 0; second < 4; ++second) {
    fixture.reports[worker].runs.front().percent = ++percent;
    fixture.Advance(1s);
  }
  return worker;
}

TEST_CASE("what ran on a worker that left starts elsewhere at once") {
  // Shown by the review: 8.5 to 12 s after the worker had drained and left.
  DispatcherFixture fixture;
  const std::string left = StartOnLeavingWorker(fixture);
  fixture.unresponsive[left] = true;
  fixture.Advance(800ms);  // The entry is seen to be gone a little later.
  CHECK(fixture.starts.empty());
  fixture.Feed(WorkerUnlisted{{left}});
  fixture.Advance(1s);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts.front().worker.value != left);
  fixture.Advance(500ms);
  CHECK(fixture.departed == std::vector<WorkerName>{{left}});
}

TEST_CASE("a leaving worker whose entry expired keeps its runs") {
  DispatcherFixture fixture;
  const std::string worker = StartOnLeavingWorker(fixture);
  SECTION("it goes on answering") {
    fixture.Feed(WorkerUnlisted{{worker}});
    for (std::uint32_t second = 10; second < 30; ++second) {
      fixture.reports[worker].runs.front().percent = second;
      fixture.Advance(1s);
    }
    CHECK(fixture.starts.empty());
  }
  SECTION("a poll stays unanswered meanwhile") {
    fixture.Feed(WorkerUnlisted{{worker}});
    fixture.unresponsive[worker] = true;
    fixture.Advance(250ms);
    fixture.unresponsive[worker] = false;
    fixture.Advance(5s);
    CHECK(fixture.starts.empty());
  }
  SECTION("it answers once more and is cut off later") {
    fixture.Feed(WorkerUnlisted{{worker}});
    fixture.Advance(1s);
    fixture.unresponsive[worker] = true;
    fixture.Advance(6s);
    CHECK(fixture.starts.empty());
  }
  SECTION("it was cut off from the table and from this instance together") {
    fixture.unresponsive[worker] = true;
    fixture.Advance(3s);  // Three intervals of its entry, less one.
    fixture.Feed(WorkerUnlisted{{worker}});
    fixture.Advance(6s);
    CHECK(fixture.starts.empty());
  }
  SECTION("the list was not current before, so it may have expired long ago") {
    fixture.list_confirmed = false;
    fixture.Advance(kMaxWorkerListAge + 200ms);
    fixture.list_confirmed = true;
    fixture.Advance(1s);
    fixture.unresponsive[worker] = true;
    fixture.Feed(WorkerUnlisted{{worker}});
    fixture.Advance(6s);
    CHECK(fixture.starts.empty());
  }
  SECTION("its entry cannot be read") {
    fixture.unresponsive[worker] = true;
    fixture.Feed(WorkerUnlisted{{worker}, UnlistedCause::kUnreadable});
    fixture.Advance(6s);
    CHECK(fixture.starts.empty());
  }
}

TEST_CASE("the next owner does not wait for a worker that has drained") {
  // Shown by the review: old jobs waited 10 to 13 s.
  DispatcherFixture fixture;
  const std::string leaving = StartOnLeavingWorker(fixture);
  CHECK(fixture.departed.empty());
  const ListedRun run = fixture.reports[leaving].runs.front();
  fixture.answer_commits = false;
  fixture.End(leaving, run.task, run.run, RunEnding::kDone);
  fixture.Advance(1s);
  CHECK(fixture.departed.empty());  // The end is not durable yet.
  fixture.AnswerCommits();
  fixture.Advance(500ms);
  // It is still there, but gets nothing to run any more.
  CHECK(fixture.departed == std::vector<WorkerName>{{leaving}});
}

TEST_CASE("a worker that stays after all is enrolled before it gets work") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Advance(1s);
  SetLeaving(fixture, "w1", true);
  fixture.Advance(200ms);
  REQUIRE(fixture.departed.size() == 1);
  fixture.answer_commits = false;
  SetLeaving(fixture, "w1", false);
  fixture.Feed(JobLoaded{
      DispatcherFixture::Job("a", "batch", {DispatcherFixture::Step(1, 1)}),
      {}});
  fixture.Advance(500ms);
  CHECK(fixture.starts.empty());
  fixture.AnswerCommits();
  fixture.Advance(200ms);
  CHECK(fixture.enrolled.size() == 1);
  CHECK(fixture.starts.size() == 1);
}

}  // namespace
}  // namespace jasminespar::jobs
