// Reports of a worker that arrive in another order than they were made in.
#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};
const JobId kOtherJob{"00000000000000bb"};

JobLoaded OneTask(const JobId& job) {
  return {DispatcherFixture::Job(job.value, "batch",
                                 {DispatcherFixture::Step(1, 2)}),
          {}};
}

std::size_t StartsOf(const DispatcherFixture& fixture, const JobId& job) {
  return static_cast<std::size_t>(std::count_if(
      fixture.starts.begin(), fixture.starts.end(), [&](const auto& order) {
        return std::get<StartRun>(order.what).task.job == job;
      }));
}

/// Starts a job on the only worker and makes two reports: an earlier one that
/// lists its run, and a later one that lists its end.
void MakeTwoReports(DispatcherFixture& fixture, RunEnding ending) {
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(OneTask(kJob));
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const auto start = std::get<StartRun>(fixture.starts.front().what);
  fixture.AcceptStarts();
  fixture.hold_reports = true;
  fixture.Advance(100ms);
  REQUIRE(fixture.held_reports.size() == 1);
  // A refused start makes the owner poll again without a wait.
  fixture.Feed(OneTask(kOtherJob));
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  fixture.End("w1", start.task, start.run, ending);
  fixture.Answer(fixture.starts.front(),
                 OrderRefused{OrderRefusal::kUnhealthy});
  fixture.starts.clear();
  fixture.Advance(100ms);
  REQUIRE(fixture.held_reports.size() == 2);
}

// review/6: the overtaken report brought the run back, and the task never
// started again (LOST).
TEST_CASE("a report that was overtaken brings no ended run back") {
  const RunEnding ending = GENERATE(RunEnding::kFailed, RunEnding::kStopped,
                                    RunEnding::kLeaseExpired, RunEnding::kDone);
  const bool sent_first = GENERATE(true, false);
  const bool more_decisions = GENERATE(true, false);
  DispatcherFixture fixture;
  MakeTwoReports(fixture, ending);
  if (!sent_first) {
    std::swap(fixture.held_reports[0].report, fixture.held_reports[1].report);
  }
  const std::size_t later = sent_first ? 1 : 0;
  fixture.DeliverReport(later);
  fixture.hold_reports = false;
  if (more_decisions) fixture.Advance(100ms);
  fixture.DeliverReport(0);
  fixture.Advance(3s);
  CHECK(StartsOf(fixture, kOtherJob) == 1);
  const bool done = ending == RunEnding::kDone;
  REQUIRE(StartsOf(fixture, kJob) == (done ? 0 : 1));
  if (done) {
    CHECK(fixture.progress.at(kJob).phase == JobPhase::kCompleted);
    return;
  }
  CHECK(fixture.stops.empty());  // Nothing was taken for a stray run.
}

TEST_CASE("two reports that arrive in the order they were made in both count") {
  DispatcherFixture fixture;
  MakeTwoReports(fixture, RunEnding::kFailed);
  fixture.DeliverReport(0);
  fixture.DeliverReport(0);
  fixture.hold_reports = false;
  fixture.Advance(3s);
  CHECK(StartsOf(fixture, kJob) == 1);
}

TEST_CASE("a refused repetition of a start does not stop its run") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(OneTask(kJob));
  fixture.Advance(50ms);
  REQUIRE(fixture.starts.size() == 1);
  const auto start = std::get<StartRun>(fixture.starts.front().what);
  fixture.Answer(fixture.starts.front(), OrderUnanswered{});
  fixture.hold_reports = true;
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 2);
  fixture.hold_reports = false;
  fixture.reports["w1"].runs.push_back({start.task, start.run, "", 0});
  fixture.LoseReports();
  fixture.Advance(300ms);
  fixture.Answer(fixture.starts.back(), OrderRefused{OrderRefusal::kUnhealthy});
  fixture.Advance(300ms);
  CHECK(fixture.stops.empty());
}

}  // namespace
}  // namespace jasminespar::jobs
