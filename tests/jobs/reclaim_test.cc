// Which runs guaranteed work may preempt, and by when it must.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kBatch{"00000000000000aa"};
const JobId kUrgent{"00000000000000bb"};

/// Runs a batch job on the only worker for `worked`, then submits an urgent job
/// that needs the whole worker.
void RunBatchThenSubmitUrgent(DispatcherFixture& fixture, StepSpec batch,
                              Duration worked) {
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kBatch.value, "batch", {batch}), {}});
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  fixture.AcceptStarts();
  for (Duration passed{}; passed < worked; passed += 500ms) {
    fixture.Advance(500ms);
    ++fixture.reports["w1"].runs.front().percent;
  }
  AcceptedJob urgent = DispatcherFixture::Job(kUrgent.value, "urgent",
                                              {DispatcherFixture::Step(1, 8)});
  urgent.accepted_at = fixture.now.wall;
  fixture.Feed(JobLoaded{urgent, {}});
}

TEST_CASE("a run with little work is stopped at once for guaranteed work") {
  DispatcherFixture fixture;
  RunBatchThenSubmitUrgent(fixture, DispatcherFixture::Step(1, 8), 1s);
  fixture.Advance(500ms);
  CHECK(fixture.stops.size() == 1);
}

TEST_CASE("a checkpoint makes a long run cheap to stop") {
  DispatcherFixture fixture;
  StepSpec batch = DispatcherFixture::Step(1, 8);
  batch.checkpointing = true;
  RunBatchThenSubmitUrgent(fixture, batch, 20s);
  fixture.Advance(500ms);
  CHECK(fixture.stops.size() == 1);
}

TEST_CASE("a run with much work is stopped only near the guarantee's bound") {
  DispatcherFixture fixture;
  RunBatchThenSubmitUrgent(fixture, DispatcherFixture::Step(1, 8), 20s);
  fixture.Advance(1s);
  CHECK(fixture.stops.empty());
  // This leaves time for the stop, the poll that reports it, and the start.
  fixture.Advance(fixture.settings.reclaim_within -
                  fixture.settings.stop_limit - 1500ms);
  CHECK(fixture.stops.size() == 1);
}

TEST_CASE("other work leaves some workers idle until it has waited") {
  constexpr int kWorkers = 20;
  DispatcherFixture fixture;
  for (int i = 0; i < kWorkers; ++i) {
    fixture.AddWorker("w" + std::to_string(100 + i));
  }
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kBatch.value, "batch",
                                       {DispatcherFixture::Step(kWorkers, 8)}),
                {}});
  fixture.Advance(500ms);
  const std::size_t early = fixture.starts.size();
  CHECK(early < kWorkers);
  CHECK(early >= kWorkers - 3);
  SECTION("urgent work takes them at once") {
    fixture.Feed(
        JobLoaded{DispatcherFixture::Job(kUrgent.value, "urgent",
                                         {DispatcherFixture::Step(2, 8)}),
                  {}});
    fixture.Advance(100ms);
    CHECK(fixture.starts.size() == early + 2);
  }
  SECTION("work that has waited takes them as well") {
    fixture.AcceptStarts();
    fixture.Advance(2s);
    CHECK(fixture.starts.size() == kWorkers - early);
  }
}

TEST_CASE("work that can meet its objective starts before work that cannot") {
  DispatcherFixture fixture;
  SiteConfiguration site = fixture.configuration->content();
  for (QueueConfiguration& queue : site.queues) queue.slack_factor = 2;
  fixture.Feed(ConfigurationChanged{
      std::make_shared<const ConfigurationSnapshot>(std::move(site))});
  fixture.FinishLoading();
  AcceptedJob late = DispatcherFixture::Job("00000000000000cc", "batch",
                                            {DispatcherFixture::Step(1, 8)});
  fixture.Feed(JobLoaded{late, {}});
  fixture.Advance(2500ms);  // The objective is 4 s, the run time 2 s.
  AcceptedJob timely = DispatcherFixture::Job("00000000000000dd", "batch",
                                              {DispatcherFixture::Step(1, 8)});
  timely.accepted_at = fixture.now.wall;
  fixture.Feed(JobLoaded{timely, {}});
  fixture.AddWorker("w1");
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(std::get<StartRun>(fixture.starts.front().what).task.job == timely.id);
}

}  // namespace
}  // namespace jasminespar::jobs
