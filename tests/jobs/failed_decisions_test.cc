// What an unexpected exception in a decision or an input leaves behind.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dispatcher_fixture.h"
#include "failing_allocation.h"

namespace jasminespar::jobs {
namespace {

constexpr int kJobs = 4;
constexpr int kMostAllocations = 400;

JobId IdOf(int number) { return {"00000000000000a" + std::to_string(number)}; }

void LoadJobs(DispatcherFixture& fixture) {
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(1600ms);
  for (int i = 0; i < kJobs; ++i) {
    fixture.Feed(
        JobLoaded{DispatcherFixture::Job(IdOf(i).value, "batch",
                                         {DispatcherFixture::Step(2, 1)}),
                  {}});
  }
}

/// Lets all runs end well until nothing is left to do.
void FinishWork(DispatcherFixture& fixture) {
  for (int round = 0; round < 20; ++round) {
    fixture.Advance(200ms);
    fixture.AcceptStarts();
    for (auto& [worker, report] : fixture.reports) {
      for (const ListedRun& run : std::vector<ListedRun>(report.runs)) {
        fixture.End(worker, run.task, run.run, RunEnding::kDone);
      }
    }
  }
}

std::set<JobId> CompletedJobs(const DispatcherFixture& fixture) {
  std::set<JobId> completed;
  for (const JobStatus& status : fixture.statuses) {
    if (status.phase == JobPhase::kCompleted) completed.insert(status.job);
  }
  return completed;
}

// Guards against one exception that stops all later decisions (review/13): the
// owner kept the cell, and committed and started nothing.
TEST_CASE("an exception in a decision ends the epoch and no other work") {
  int number = 0;
  for (; number < kMostAllocations; ++number) {
    CAPTURE(number);
    DispatcherFixture fixture;
    LoadJobs(fixture);
    fixture.fail_allocation = number;
    fixture.Advance(fixture.tick);
    fixture.fail_allocation.reset();
    if (!fixture.allocation_failed) break;
    // Sorting does without the memory that it asks for.
    CHECK(fixture.failures.size() <= 1);
    CHECK(fixture.resigned == !fixture.failures.empty());
    const bool in_commit = fixture.resigned && fixture.failures[0].stage ==
                                                   DispatcherStage::kCommit;
    if (in_commit) continue;
    // An instance that has resigned lately goes on for a while.
    FinishWork(fixture);
    CHECK(CompletedJobs(fixture).size() >= kJobs - 1);
  }
  CHECK(number > 50);
  CHECK(number < kMostAllocations);
}

TEST_CASE("a job that cannot be held in memory does not stop the others") {
  DispatcherFixture fixture;
  LoadJobs(fixture);
  StepSpec huge = DispatcherFixture::Step(1, 1);
  AcceptedJob job = DispatcherFixture::Job("00000000000000ff", "batch", {huge});
  job.spec.occurrences = std::numeric_limits<std::uint32_t>::max();
  job.spec.steps[0].count = std::numeric_limits<std::uint32_t>::max();
  fixture.Feed(JobLoaded{std::move(job), {}});
  CHECK(fixture.failures.size() == 1);
  FinishWork(fixture);
  CHECK(CompletedJobs(fixture).size() == kJobs);
  CHECK_FALSE(fixture.resigned);
}

}  // namespace
}  // namespace jasminespar::jobs
