// What becomes of a plan of preemption when the workers that it names, or the
// job that it is for, change.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kBatch{"00000000000000aa"};
const JobId kUrgent{"00000000000000bb"};
const JobId kLater{"00000000000000cc"};

/// An urgent gang of two waits for the end of a batch run on w1 and has w2
/// reserved, which is idle.
void PlanGang(DispatcherFixture& fixture) {
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Advance(1600ms);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kBatch.value, "batch",
                                       {DispatcherFixture::Step(1, 8)}),
                {}});
  fixture.Advance(500ms);
  REQUIRE(fixture.starts.size() == 1);
  fixture.AcceptStarts();
  fixture.AddWorker("w2");
  fixture.Advance(200ms);
  StepSpec gang = DispatcherFixture::Step(2, 8);
  gang.gang = true;
  AcceptedJob urgent = DispatcherFixture::Job(kUrgent.value, "urgent", {gang});
  urgent.accepted_at = fixture.now.wall;
  fixture.Feed(JobLoaded{urgent, {}});
  fixture.Advance(500ms);
  REQUIRE(fixture.stops.size() == 1);
  REQUIRE(fixture.starts.empty());
}

void Leave(DispatcherFixture& fixture, Authority authority) {
  WorkerEntry leaving = DispatcherFixture::EntryOf("w2");
  leaving.leaving = true;
  fixture.Feed(WorkerListed{leaving});
  fixture.Feed(WorkerUnlisted{{"w2"}});
  fixture.unresponsive["w2"] = true;
  fixture.Advance(300ms, authority);
}

/// Ends the batch run and checks that two sound workers can be used wholly.
void CheckAllRoomIsUsed(DispatcherFixture& fixture) {
  fixture.Feed(JobCancelled{kBatch});
  fixture.Feed(JobCancelled{kUrgent});
  for (auto& [worker, report] : fixture.reports) {
    for (const ListedRun& run : std::vector<ListedRun>(report.runs)) {
      fixture.End(worker, run.task, run.run, RunEnding::kStopped);
    }
  }
  fixture.starts.clear();
  fixture.AddWorker("w3");
  fixture.AddWorker("w4");
  AcceptedJob later = DispatcherFixture::Job(kLater.value, "urgent",
                                             {DispatcherFixture::Step(8, 8)});
  fixture.Feed(JobLoaded{later, {}});
  fixture.Advance(4s);
  std::map<WorkerName, int> started;
  for (const SendOrder& start : fixture.starts) {
    CHECK(std::get<StartRun>(start.what).task.job == kLater);
    CHECK(++started[start.worker] == 1);
  }
  CHECK(started.contains({"w1"}));
  CHECK(started.contains({"w3"}));
  CHECK(started.contains({"w4"}));
  CHECK(fixture.failures.empty());
}

// Guards against a plan that names a forgotten worker (review/13): each later
// decision threw an exception, so that nothing was committed or started.
TEST_CASE("a worker that a plan names leaves and is forgotten") {
  DispatcherFixture fixture;
  PlanGang(fixture);
  const Authority authority = GENERATE(Authority::kRenewOnly, Authority::kFull);
  Leave(fixture, authority);
  CHECK(fixture.departed == std::vector<WorkerName>{{"w2"}});
  SECTION("it stays away") {}
  SECTION("it is listed again at once") {
    fixture.unresponsive["w2"] = false;
    fixture.AddWorker("w2");
  }
  SECTION("it is listed again with less room") {
    fixture.unresponsive["w2"] = false;
    WorkerEntry smaller = DispatcherFixture::EntryOf("w2");
    smaller.capacity.accelerators = 4;
    fixture.Feed(WorkerListed{smaller});
  }
  SECTION("the job is cancelled") { fixture.Feed(JobCancelled{kUrgent}); }
  CheckAllRoomIsUsed(fixture);
}

TEST_CASE("a plan ends with what it was made for") {
  DispatcherFixture fixture;
  PlanGang(fixture);
  SECTION("the job is cancelled") { fixture.Feed(JobCancelled{kUrgent}); }
  SECTION("the worker starts again under its name") {
    fixture.Restart("w2", Incarnation{7});
    WorkerEntry restarted = DispatcherFixture::EntryOf("w2");
    restarted.incarnation = Incarnation{7};
    fixture.Feed(WorkerListed{restarted});
    fixture.Advance(300ms);
  }
  SECTION("the worker is silent for a while") {
    fixture.unresponsive["w2"] = true;
    fixture.Advance(5s);
    fixture.unresponsive["w2"] = false;
  }
  SECTION("the owner has no authority to start for a while") {
    fixture.Advance(5s, Authority::kRenewOnly);
  }
  CheckAllRoomIsUsed(fixture);
}

TEST_CASE("a worker that reports a run is not forgotten as departed") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(1600ms);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job(kBatch.value, "batch",
                                       {DispatcherFixture::Step(1, 8)}),
                {}});
  fixture.hold_reports = true;
  fixture.reports["w2"].runs.push_back({{kBatch, 0, 0, 0}, {11}, "", 40});
  fixture.Advance(3s, Authority::kRenewOnly);
  fixture.answer_commits = false;
  WorkerEntry leaving = DispatcherFixture::EntryOf("w2");
  leaving.leaving = true;
  fixture.Feed(WorkerListed{leaving});
  fixture.Advance(50ms, Authority::kRenewOnly);
  REQUIRE(fixture.departed == std::vector<WorkerName>{{"w2"}});
  fixture.Feed(WorkerUnlisted{{"w2"}, UnlistedCause::kUnreadable});
  fixture.hold_reports = false;
  while (!fixture.held_reports.empty()) fixture.DeliverReport(0);
  fixture.AnswerCommits();
  fixture.Advance(1s);
  CHECK(fixture.failures.empty());
  CHECK(fixture.starts.empty());
  fixture.End("w2", {kBatch, 0, 0, 0}, {11}, RunEnding::kDone);
  fixture.Advance(3s);
  REQUIRE_FALSE(fixture.statuses.empty());
  CHECK(fixture.statuses.back().phase == JobPhase::kCompleted);
}

}  // namespace
}  // namespace jasminespar::jobs
