// Runs that an earlier owner started, of jobs that this owner reads later.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const TaskName kTask{{"00000000000000aa"}, 0, 0, 0};
const RunNumber kEarlierRun{11};

JobLoaded JobOf(std::uint32_t tasks, bool gang = false) {
  StepSpec step = DispatcherFixture::Step(tasks, 1);
  step.gang = gang;
  step.estimate = 1min;
  return {DispatcherFixture::Job(kTask.job.value, "batch", {step}), {}};
}

/// An owner whose predecessor can still start tasks, with two workers.
void TakeOver(DispatcherFixture& fixture) {
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.jobs_confirmed = false;
  fixture.FinishLoading();
}

void ReportEarlierRun(DispatcherFixture& fixture, const std::string& worker,
                      std::uint32_t index = 0, RunNumber run = kEarlierRun) {
  TaskName task = kTask;
  task.index = index;
  fixture.reports[worker].runs.push_back({task, run, "", 40});
}

[[nodiscard]] bool IsCompleted(const DispatcherFixture& fixture) {
  return !fixture.statuses.empty() &&
         fixture.statuses.back().phase == JobPhase::kCompleted;
}

// Guards against a task that runs twice (review/12): the run of the earlier
// owner was being stopped as a stray while the job was started elsewhere.
TEST_CASE("a run whose job is read later goes on as the job's own") {
  DispatcherFixture fixture(2);
  TakeOver(fixture);
  const bool gang = GENERATE(false, true);
  const Duration read_after = GENERATE(100ms, 500ms, 3s, 8s);
  CAPTURE(gang, read_after.count());
  ReportEarlierRun(fixture, "w1", 0);
  ReportEarlierRun(fixture, "w2", 1);
  fixture.Advance(read_after);
  for (auto& [worker, report] : fixture.reports) ++report.runs[0].percent;
  fixture.Advance(100ms);
  fixture.Feed(JobOf(2, gang));
  fixture.jobs_confirmed = true;
  fixture.Advance(3s);
  CHECK(fixture.stops.empty());
  CHECK(fixture.starts.empty());
  fixture.End("w1", kTask, kEarlierRun, RunEnding::kDone);
  fixture.End("w2", {kTask.job, 0, 0, 1}, kEarlierRun, RunEnding::kDone);
  fixture.Advance(3s);
  CHECK(IsCompleted(fixture));
  CHECK(fixture.starts.empty());
}

TEST_CASE("an end whose job is read later is not acknowledged before") {
  DispatcherFixture fixture(2);
  TakeOver(fixture);
  const bool reported_running = GENERATE(false, true);
  if (reported_running) {
    ReportEarlierRun(fixture, "w1");
    fixture.Advance(200ms);
  }
  fixture.End("w1", kTask, kEarlierRun, RunEnding::kDone);
  fixture.Advance(3s);
  CHECK(fixture.acknowledged == 0);
  SECTION("the job is read") {
    fixture.Feed(JobOf(1));
    fixture.Advance(3s);
    CHECK(IsCompleted(fixture));
  }
  SECTION("the job is read while another worker is silent") {
    fixture.unresponsive["w2"] = true;
    fixture.Feed(JobOf(1));
    fixture.Advance(3s);
    CHECK(IsCompleted(fixture));
  }
  SECTION("the table has no such job") {
    fixture.jobs_confirmed = true;
    fixture.Advance(3s);
  }
  CHECK(fixture.acknowledged == 1);
  CHECK(fixture.starts.empty());
}

TEST_CASE("a job that is read late waits for a worker that has not answered") {
  DispatcherFixture fixture(2);
  TakeOver(fixture);
  fixture.unresponsive["w2"] = true;
  fixture.Advance(4s);
  fixture.Feed(JobOf(1));
  fixture.jobs_confirmed = true;
  fixture.Advance(2s);
  CHECK(fixture.starts.empty());
  SECTION("the worker has a run of it") {
    ReportEarlierRun(fixture, "w2");
    fixture.unresponsive["w2"] = false;
    fixture.Advance(2s);
    CHECK(fixture.starts.empty());
    CHECK(fixture.stops.empty());
  }
  SECTION("the worker has none") {
    fixture.unresponsive["w2"] = false;
    fixture.Advance(2s);
    CHECK(fixture.starts.size() == 1);
  }
}

TEST_CASE("a run of a job that the table does not have is stopped") {
  DispatcherFixture fixture(2);
  TakeOver(fixture);
  ReportEarlierRun(fixture, "w1");
  fixture.Advance(1s);
  CHECK(fixture.stops.empty());
  fixture.jobs_confirmed = true;
  fixture.Advance(1s);
  CHECK(fixture.stops.size() == 1);
}

TEST_CASE("a run is stopped when its job is cancelled before it is read") {
  DispatcherFixture fixture(2);
  TakeOver(fixture);
  SECTION("the run is reported first") {
    ReportEarlierRun(fixture, "w1");
    fixture.Advance(500ms);
    fixture.Feed(JobCancelled{kTask.job});
  }
  SECTION("the cancellation comes first") {
    fixture.Feed(JobCancelled{kTask.job});
    ReportEarlierRun(fixture, "w1");
    fixture.Advance(2500ms);
  }
  CHECK(fixture.stops.size() == 1);
  fixture.Feed(JobOf(1));
  fixture.jobs_confirmed = true;
  fixture.Advance(1s);
  CHECK(fixture.starts.empty());
}

TEST_CASE("a task waits for the end of its run that is being stopped") {
  DispatcherFixture fixture(2);
  TakeOver(fixture);
  ReportEarlierRun(fixture, "w1");
  fixture.jobs_confirmed = true;
  fixture.Advance(2s);
  REQUIRE(fixture.stops.size() == 1);
  const SendOrder stop = fixture.stops.front();
  fixture.Feed(JobOf(1));
  SECTION("the stop is accepted") { fixture.Answer(stop, OrderAccepted{{1}}); }
  SECTION("the stop is refused") {
    fixture.Answer(stop, OrderRefused{OrderRefusal::kUnhealthy});
  }
  SECTION("the stop is unanswered") { fixture.Answer(stop, OrderUnanswered{}); }
  SECTION("no answer is known yet") {}
  SECTION("the worker is silent from then on") {
    fixture.unresponsive["w1"] = true;
    fixture.Answer(stop, OrderUnanswered{});
  }
  fixture.Advance(900ms);
  CHECK(fixture.starts.empty());
  fixture.unresponsive["w1"] = false;
  fixture.End("w1", kTask, kEarlierRun, RunEnding::kStopped);
  fixture.Advance(3s);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("a task with two reported runs waits for the ends of both") {
  DispatcherFixture fixture(2);
  TakeOver(fixture);
  ReportEarlierRun(fixture, "w1", 0, {11});
  ReportEarlierRun(fixture, "w2", 0, {12});
  fixture.Feed(JobOf(1));
  fixture.jobs_confirmed = true;
  fixture.Advance(1s);
  REQUIRE(fixture.stops.size() == 1);
  const bool first_stopped = GENERATE(false, true);
  const std::string stopped = fixture.stops.front().worker.value;
  const std::string other = stopped == "w1" ? "w2" : "w1";
  const auto run_on = [](const std::string& worker) {
    return worker == "w1" ? RunNumber{11} : RunNumber{12};
  };
  const std::string first = first_stopped ? stopped : other;
  const std::string second = first_stopped ? other : stopped;
  fixture.End(first, kTask, run_on(first), RunEnding::kStopped);
  fixture.Advance(1s);
  CHECK(fixture.starts.empty());
  fixture.End(second, kTask, run_on(second), RunEnding::kStopped);
  fixture.Advance(3s);
  CHECK(fixture.starts.size() == 1);
}

}  // namespace
}  // namespace jasminespar::jobs
