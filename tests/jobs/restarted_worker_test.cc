// Workers whose process ends and starts again under its name.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const std::string kWorker = "w1";
const JobId kLongJob{"00000000000000aa"};

JobLoaded OneTask(const JobId& job) {
  return {DispatcherFixture::Job(job.value, "batch",
                                 {DispatcherFixture::Step(1, 1)}),
          {}};
}

/// Loads a job, whose only task starts.
StartRun StartJob(DispatcherFixture& fixture, const JobId& job) {
  fixture.Feed(OneTask(job));
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const auto start = std::get<StartRun>(fixture.starts.front().what);
  fixture.AcceptStarts();
  return start;
}

/// Runs some jobs to their ends, which are acknowledged, and starts a long one.
/// From then on, reports do not arrive.
void RunJobs(DispatcherFixture& fixture, int ends) {
  fixture.Restart(kWorker, {1});
  WorkerEntry entry = DispatcherFixture::EntryOf(kWorker);
  entry.incarnation = {1};
  fixture.AddWorker(entry);
  fixture.FinishLoading();
  fixture.Advance(10s);
  for (int i = 0; i < ends; ++i) {
    const StartRun start = StartJob(fixture, {"ended" + std::to_string(i)});
    fixture.End(kWorker, start.task, start.run, RunEnding::kDone);
    fixture.Advance(3s);
  }
  REQUIRE(fixture.acknowledged == static_cast<std::uint64_t>(ends));
  StartJob(fixture, kLongJob);
  fixture.Advance(1s);
  fixture.hold_reports = true;
  fixture.Advance(100ms);
  REQUIRE(fixture.held_reports.size() == 1);
}

// review/7: the first end of a worker's new process was acknowledged with the
// ends of the earlier one before it was read, and its task ran twice (TWICE).
TEST_CASE("ends of a new process are not taken for those of the earlier one") {
  const int ends = GENERATE(1, 3);
  const int tasks = GENERATE(1, 3, 5);
  const Duration until_known = GENERATE(100ms, 1s, 2500ms);
  const int restarts = GENERATE(1, 2);
  DispatcherFixture fixture;
  RunJobs(fixture, ends);
  std::uint64_t incarnation = 1;
  for (int i = 0; i < restarts; ++i) fixture.Restart(kWorker, {++incarnation});
  for (int i = 0; i < tasks; ++i) {
    const StartRun start = StartJob(fixture, {"short" + std::to_string(i)});
    fixture.End(kWorker, start.task, start.run, RunEnding::kDone);
  }
  fixture.Advance(until_known);
  fixture.hold_reports = false;
  fixture.LoseReports();
  fixture.Advance(5s);
  // Only the long job runs again.
  REQUIRE(fixture.starts.size() == 1);
  const auto again = std::get<StartRun>(fixture.starts.front().what);
  CHECK(again.task.job == kLongJob);
  for (int i = 0; i < tasks; ++i) {
    CHECK(fixture.progress.at({"short" + std::to_string(i)}).phase ==
          JobPhase::kCompleted);
  }
}

TEST_CASE(
    "a new process that its entry shows first gets work once it answers") {
  DispatcherFixture fixture;
  RunJobs(fixture, 1);
  fixture.Restart(kWorker, {2});
  WorkerEntry entry = DispatcherFixture::EntryOf(kWorker);
  entry.incarnation = {2};
  fixture.Feed(WorkerListed{entry});
  fixture.Feed(OneTask({"short"}));
  fixture.Advance(100ms);
  CHECK(fixture.starts.empty());
  CHECK(fixture.lease_of_last_poll[kWorker] == 0);
  REQUIRE(fixture.held_reports.size() == 2);
  fixture.hold_reports = false;
  fixture.DeliverReport(1);  // The poll of the earlier process still waits.
  fixture.Advance(100ms);
  CHECK(fixture.starts.size() == 2);
  fixture.LoseReports();
  fixture.Advance(1s);
  CHECK(fixture.lease_of_last_poll[kWorker] > 0);
}

TEST_CASE("an entry that is behind the reports brings no process back") {
  DispatcherFixture fixture;
  RunJobs(fixture, 1);
  fixture.Restart(kWorker, {2});
  fixture.hold_reports = false;
  fixture.LoseReports();
  fixture.Advance(500ms);
  REQUIRE(fixture.starts.size() == 1);
  fixture.AcceptStarts();
  WorkerEntry entry = DispatcherFixture::EntryOf(kWorker);
  entry.incarnation = {1};
  fixture.Feed(WorkerListed{entry});
  fixture.Feed(OneTask({"short"}));
  fixture.Advance(200ms);
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.stops.empty());
}

TEST_CASE("a report of the earlier process that arrives late changes nothing") {
  DispatcherFixture fixture;
  RunJobs(fixture, 1);
  DispatcherFixture::HeldReport late = fixture.held_reports.front();
  fixture.Restart(kWorker, {2});
  WorkerEntry entry = DispatcherFixture::EntryOf(kWorker);
  entry.incarnation = {2};
  fixture.Feed(WorkerListed{entry});
  fixture.Advance(100ms);
  fixture.hold_reports = false;
  fixture.DeliverReport(1);
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  fixture.AcceptStarts();
  fixture.DeliverReport(0);
  fixture.Advance(2s);
  CHECK(fixture.starts.empty());
  CHECK(fixture.stops.empty());
}

TEST_CASE("a stop that an earlier process accepted says nothing of the next") {
  DispatcherFixture fixture;
  RunJobs(fixture, 1);
  fixture.Feed(OneTask({"other"}));
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const SendOrder start = std::exchange(fixture.starts, {}).front();
  fixture.Answer(start, OrderUnanswered{});
  fixture.Feed(JobCancelled{{"other"}});
  fixture.Advance(100ms);
  REQUIRE(fixture.stops.size() == 1);
  fixture.Restart(kWorker, {2});
  fixture.hold_reports = false;
  fixture.LoseReports();
  const bool before_report = GENERATE(true, false);
  if (before_report) fixture.Answer(fixture.stops.front(), OrderAccepted{{1}});
  fixture.Advance(1s);
  if (!before_report) fixture.Answer(fixture.stops.front(), OrderAccepted{{1}});
  fixture.Advance(1s);
  // The start may still be carried out, by the new process.
  CHECK(fixture.stops.size() == 2);
}

}  // namespace
}  // namespace jasminespar::jobs
