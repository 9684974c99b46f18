// Starts and ends of runs, and what must be durable before it is acknowledged
// or published.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};

DispatcherFixture& LoadWorkers(DispatcherFixture& fixture, int workers) {
  for (int i = 0; i < workers; ++i) {
    fixture.AddWorker("w" + std::to_string(i), "r" + std::to_string(i / 4));
  }
  fixture.FinishLoading();
  fixture.Advance(200ms);
  return fixture;
}

TEST_CASE("a job runs to its end, which is acknowledged only when durable") {
  DispatcherFixture fixture;
  LoadWorkers(fixture, 2);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(1, 2)}),
                {}});
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const SendOrder start = fixture.starts.front();
  fixture.AcceptStarts();
  fixture.Advance(100ms);
  REQUIRE_FALSE(fixture.statuses.empty());
  CHECK(fixture.statuses.back().phase == JobPhase::kRunning);
  fixture.answer_commits = false;
  fixture.End(start.worker.value, {kJob, 0, 0, 0},
              std::get<StartRun>(start.what).run, RunEnding::kDone);
  fixture.Advance(3s);
  CHECK(fixture.statuses.back().phase == JobPhase::kCompleted);
  CHECK(fixture.acknowledged == 0);  // The commit may not be durable yet.
}

TEST_CASE("all tasks of a gang start under one run number, or none starts") {
  DispatcherFixture fixture;
  LoadWorkers(fixture, 2);
  StepSpec gang = DispatcherFixture::Step(3, 8);
  gang.gang = true;
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch", {gang}), {}});
  fixture.Advance(500ms);
  CHECK(fixture.starts.empty());
  fixture.AddWorker("w9");
  fixture.Advance(3s);
  REQUIRE(fixture.starts.size() == 3);
  const RunNumber run = std::get<StartRun>(fixture.starts[0].what).run;
  CHECK(std::get<StartRun>(fixture.starts[1].what).run == run);
  CHECK(std::get<StartRun>(fixture.starts[2].what).run == run);
}

TEST_CASE(
    "a start without an answer keeps its room until its outcome is known") {
  DispatcherFixture fixture;
  LoadWorkers(fixture, 1);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(1, 8)}),
                {}});
  fixture.Advance(100ms);
  for (int sending = 0; sending < 3; ++sending) {
    REQUIRE(fixture.starts.size() == 1);
    const SendOrder order = fixture.starts.front();
    fixture.starts.clear();
    fixture.Answer(order, OrderUnanswered{});
    fixture.Advance(200ms);
  }
  CHECK(fixture.starts.empty());  // Neither on this worker nor elsewhere.
  REQUIRE(fixture.stops.size() == 1);
  fixture.Answer(fixture.stops.front(), OrderAccepted{{2000}});
  fixture.Advance(3s);
  CHECK(fixture.starts.size() == 1);  // The report shows that it never started.
}

TEST_CASE("a job whose cancellation was read first never starts") {
  // Seen when the table had dropped its history: the jobs were read after the
  // cancellations.
  DispatcherFixture fixture;
  LoadWorkers(fixture, 1);
  fixture.Feed(JobCancelled{kJob});
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(1, 1)}),
                {}});
  fixture.Advance(500ms);
  CHECK(fixture.starts.empty());
  REQUIRE_FALSE(fixture.statuses.empty());
  CHECK(fixture.statuses.back().phase == JobPhase::kCancelled);
}

TEST_CASE("the end of a run on a worker that was idle is detected at once") {
  // Found by a bug hunt: an idle worker is polled every 2 s, and a start
  // did not change that, so an ended run kept its room until the next poll.
  const Duration idle =
      2s + GENERATE(0, 250, 500, 750, 1000, 1250, 1500, 1750) * 1ms;
  DispatcherFixture fixture;
  LoadWorkers(fixture, 1);
  fixture.Advance(idle);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(1, 8)}),
                {}});
  fixture.Advance(50ms);
  REQUIRE(fixture.starts.size() == 1);
  const SendOrder start = fixture.starts.front();
  fixture.AcceptStarts();
  fixture.End(start.worker.value, {kJob, 0, 0, 0},
              std::get<StartRun>(start.what).run, RunEnding::kDone);
  fixture.Advance(150ms);
  REQUIRE_FALSE(fixture.statuses.empty());
  CHECK(fixture.statuses.back().phase == JobPhase::kCompleted);
}

TEST_CASE("a leaving worker gets no new work") {
  DispatcherFixture fixture;
  LoadWorkers(fixture, 1);
  fixture.reports["w0"].leaving = true;
  fixture.Advance(3s);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(1, 1)}),
                {}});
  fixture.Advance(500ms);
  CHECK(fixture.starts.empty());
}

TEST_CASE("an owner whose confirmed heartbeat is old starts nothing") {
  DispatcherFixture fixture;
  LoadWorkers(fixture, 1);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(1, 1)}),
                {}});
  fixture.Advance(500ms, Authority::kRenewOnly);
  CHECK(fixture.starts.empty());
  fixture.Advance(100ms, Authority::kFull);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("guaranteed urgent work gets the room of other work in time") {
  DispatcherFixture fixture;
  LoadWorkers(fixture, 2);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kJob.value, "batch",
                                       {DispatcherFixture::Step(2, 8)}),
                {}});
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 2);
  const std::vector<SendOrder> started = fixture.starts;
  fixture.AcceptStarts();
  StepSpec urgent = DispatcherFixture::Step(2, 4);
  urgent.gang = true;
  fixture.Feed(JobLoaded{
      DispatcherFixture::Job("00000000000000bb", "urgent", {urgent}), {}});
  fixture.Advance(1s);
  REQUIRE(fixture.stops.size() == 1);  // One worker fits both members.
  const SendOrder stop = fixture.stops.front();
  fixture.Answer(stop, OrderAccepted{{2000}});
  const auto& stopped = std::get<StopRun>(stop.what);
  fixture.End(stop.worker.value, stopped.task, stopped.run,
              RunEnding::kStopped);
  fixture.Advance(2500ms);
  CHECK(fixture.starts.size() == 2);
  for (const SendOrder& start : fixture.starts) {
    CHECK(start.worker == stop.worker);
  }
}

}  // namespace
}  // namespace jasminespar::jobs
