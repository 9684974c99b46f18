// Jobs whose queue is no longer in the configuration.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const TaskName kTask{{"00000000000000aa"}, 0, 0, 0};
const QueueId kDropped{"dropped"};

/// A configuration without the dropped queue, or with it as given.
ConfigurationChanged Version(std::uint64_t version,
                             const std::vector<QueueConfiguration>& queues) {
  SiteConfiguration site;
  site.version.value = version;
  site.queues = queues;
  return {std::make_shared<const ConfigurationSnapshot>(std::move(site))};
}

JobLoaded JobOfDroppedQueue(std::uint64_t accepted_under) {
  AcceptedJob job = DispatcherFixture::Job(kTask.job.value, kDropped.value,
                                           {DispatcherFixture::Step(1, 1)});
  job.accepted_under = {{accepted_under},
                        DispatcherFixture::Queue(kDropped.value, 2, 4)};
  return {job, {}};
}

/// Loads the job as a new owner that has its run to read from `w1`.
void TakeOver(DispatcherFixture& fixture, JobLoaded job) {
  fixture.Feed(std::move(job));
  fixture.FinishLoading();
  fixture.End("w1", kTask, {11}, RunEnding::kFailed);
  fixture.Advance(3s);
}

TEST_CASE("a job of a dropped queue goes on after a takeover") {
  // review/5: it never ran again, or failed at its first failed attempt.
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  SECTION("other queues use its service") {
    fixture.Feed(Version(9, {DispatcherFixture::Queue("batch", 2, 2)}));
  }
  SECTION("no queue uses its service") { fixture.Feed(Version(9, {})); }
  TakeOver(fixture, JobOfDroppedQueue(7));
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.progress.at(kTask.job).phase != JobPhase::kFailed);
  // Three more failures use up its attempts.
  for (int failures = 1; failures < 4; ++failures) {
    REQUIRE(fixture.starts.size() == 1);
    const SendOrder start = fixture.starts.front();
    fixture.AcceptStarts();
    fixture.Advance(10s);
    CHECK(fixture.progress.at(kTask.job).phase != JobPhase::kFailed);
    fixture.End(start.worker.value, kTask, std::get<StartRun>(start.what).run,
                RunEnding::kFailed);
    fixture.stops.clear();
    fixture.Advance(3s);
  }
  CHECK(fixture.progress.at(kTask.job).phase == JobPhase::kFailed);
}

TEST_CASE("a job that was stored without its queue's limit does not fail") {
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.Feed(Version(9, {}));
  JobLoaded job = JobOfDroppedQueue(7);
  job.job.accepted_under = {};
  TakeOver(fixture, std::move(job));
  CHECK(fixture.progress.at(kTask.job).phase != JobPhase::kFailed);
  // The operator adds the queue again.
  fixture.Feed(Version(11, {DispatcherFixture::Queue(kDropped.value, 2, 4)}));
  fixture.Advance(200ms);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("the last configuration of a dropped queue outlives its owner") {
  QueueConfiguration changed = DispatcherFixture::Queue(kDropped.value, 2, 4);
  changed.service.value = "successor";
  DispatcherFixture first(2);
  first.Feed(Version(7, {DispatcherFixture::Queue(kDropped.value, 2, 4)}));
  first.Feed(JobOfDroppedQueue(7));
  first.FinishLoading();
  first.Advance(200ms);
  CHECK(first.queue_records.empty());
  first.Feed(Version(8, {changed}));
  first.Advance(200ms);
  REQUIRE(first.queue_records.contains(kDropped));
  first.Feed(Version(9, {}));
  first.Advance(10s);
  REQUIRE(first.queue_records.contains(kDropped));

  DispatcherFixture next(3);
  WorkerEntry entry;
  entry.name.value = "w3";
  entry.service.value = "successor";
  entry.capacity = {32'000, 128'000, 8};
  next.Feed(WorkerListed{entry});
  next.Feed(Version(9, {}));
  next.Feed(QueueRecorded{first.queue_records.at(kDropped)});
  next.Feed(JobOfDroppedQueue(7));
  next.FinishLoading();
  next.Advance(3s);
  REQUIRE(next.starts.size() == 1);
  CHECK(next.starts[0].worker.value == "w3");
  SECTION("the record is deleted after the last of its jobs") {
    next.Feed(JobCancelled{kTask.job});
    next.queue_records = first.queue_records;
    next.Advance(6s);
    CHECK(next.queue_records.empty());
  }
}

TEST_CASE("a job keeps what is newer than the owner's configuration") {
  // It was accepted by an instance that had the change first.
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  QueueConfiguration older = DispatcherFixture::Queue(kDropped.value, 2, 4);
  older.service.value = "earlier";
  fixture.Feed(Version(6, {older}));
  fixture.Feed(JobOfDroppedQueue(7));
  fixture.FinishLoading();
  fixture.Advance(3s);
  CHECK(fixture.starts.size() == 1);
}

}  // namespace
}  // namespace jasminespar::jobs
