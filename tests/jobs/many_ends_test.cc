// Workers that have more ended runs to report than one report holds.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};

TaskName TaskAt(std::uint32_t index) { return {kJob, 0, 0, index}; }

JobLoaded LoadedJob(std::uint32_t tasks) {
  return {DispatcherFixture::Job(kJob.value, "batch",
                                 {DispatcherFixture::Step(tasks, 0)}),
          {}};
}

TEST_CASE("a new owner runs no task again whose end is in a later report") {
  // review/3: it took the first 500 ends of a worker for all of them.
  const std::uint32_t tasks = GENERATE(500U, 501U, 1'000U, 2'750U);
  const bool slow_table = GENERATE(false, true);
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  for (std::uint32_t i = 0; i < tasks; ++i) {
    fixture.End("w1", TaskAt(i), {11 + i}, RunEnding::kDone);
  }
  fixture.Feed(LoadedJob(tasks));
  fixture.FinishLoading();
  if (slow_table) {
    fixture.answer_commits = false;
    fixture.Advance(3s);
    CHECK(fixture.starts.empty());
    fixture.AnswerCommits();
  }
  fixture.Advance(3s);
  CHECK(fixture.starts.empty());
  CHECK(fixture.progress.at(kJob).phase == JobPhase::kCompleted);
  CHECK(fixture.acknowledged == tasks);
}

TEST_CASE("a task whose end is in no report goes on once all ends are read") {
  constexpr std::uint32_t kTasks = 1'200;
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  for (std::uint32_t i = 1; i < kTasks; ++i) {
    fixture.End("w1", TaskAt(i), {11 + i}, RunEnding::kDone);
  }
  fixture.Feed(LoadedJob(kTasks));
  fixture.FinishLoading();
  fixture.Advance(1s);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(std::get<StartRun>(fixture.starts[0].what).task == TaskAt(0));
}

TEST_CASE("a stopped run whose end is in a later report is not started again") {
  // It was missing from the runs and from the first ends, and was taken for one
  // that had never arrived at the worker.
  constexpr std::uint32_t kTasks = 4;
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.ends_per_report = 3;
  fixture.answer_stops_with = OrderAccepted{};
  fixture.Feed(LoadedJob(kTasks));
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.AcceptStarts();
  // Without progress, runs are stopped.
  fixture.Advance(5500ms);
  REQUIRE(fixture.stops_sent == kTasks);
  fixture.answer_commits = false;
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    const RunNumber run = std::get<StopRun>(fixture.stops[i].what).run;
    fixture.End("w1", std::get<StopRun>(fixture.stops[i].what).task, run,
                RunEnding::kDone);
  }
  fixture.Advance(10s);
  CHECK(fixture.starts.empty());
  fixture.AnswerCommits();
  fixture.Advance(1s);
  CHECK(fixture.starts.empty());
  CHECK(fixture.progress.at(kJob).phase == JobPhase::kCompleted);
}

}  // namespace
}  // namespace jasminespar::jobs
