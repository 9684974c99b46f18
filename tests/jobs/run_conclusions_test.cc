// What an owner reports when it holds a run to be over without having been told
// so, and when a worker's report contradicts that.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const TaskName kTask{{"a"}, 0, 0, 0};

/// A job of one task that runs on one of three workers.
struct StartedTask {
  StartedTask() {
    fixture.AddWorker("w0");
    fixture.AddWorker("w1");
    fixture.AddWorker("w2", "r2");
    fixture.FinishLoading();
    fixture.Advance(200ms);
    fixture.Feed(JobLoaded{
        DispatcherFixture::Job("a", "batch", {DispatcherFixture::Step(1, 8)}),
        {}});
    fixture.Advance(200ms);
    REQUIRE(fixture.starts.size() == 1);
    first = fixture.starts.front().worker.value;
    run = std::get<StartRun>(fixture.starts.front().what).run;
    fixture.AcceptStarts();
    fixture.Advance(200ms);
  }

  /// The worker answers nothing until its lease has expired.
  void LoseWorker() {
    fixture.unresponsive[first] = true;
    fixture.Advance(14s);
  }

  DispatcherFixture fixture;
  std::string first;
  RunNumber run;
};

TEST_CASE("a run that counts as over says what that rests on") {
  StartedTask started;
  started.LoseWorker();
  REQUIRE(started.fixture.conclusions.size() == 1);
  const RunConcluded& concluded = started.fixture.conclusions.front();
  CHECK(concluded.cause == DecisionCause::kLeaseExpired);
  CHECK(concluded.task == kTask);
  CHECK(concluded.run == started.run);
  CHECK(concluded.worker.value == started.first);
  const LeaseEvidence& evidence = concluded.evidence;
  CHECK(evidence.basis == LeaseBasis::kOwnOrders);
  CHECK(evidence.past_bound >= Duration{});
  CHECK(evidence.since_renewal > started.fixture.settings.max_lease);
  CHECK(evidence.since_answer > evidence.since_renewal);
  CHECK(evidence.clock.value > 0);
  CHECK(evidence.predecessors == started.fixture.predecessors);
  CHECK(started.fixture.contradictions.empty());
}

TEST_CASE("a run that is listed after it counted as over is reported") {
  StartedTask started;
  started.LoseWorker();
  started.fixture.AcceptStarts();
  started.fixture.unresponsive[started.first] = false;
  started.fixture.Advance(1s);
  REQUIRE(started.fixture.contradictions.size() == 2);
  const RunContradicted& running = started.fixture.contradictions[0];
  CHECK(running.kind == Contradiction::kStillRunning);
  CHECK(running.task == kTask);
  CHECK(running.run == started.run);
  CHECK(running.worker.value == started.first);
  CHECK(running.other_run > started.run);
  CHECK(running.other_worker.value != started.first);
  CHECK(running.cause == DecisionCause::kLeaseExpired);
  CHECK(running.evidence.basis == LeaseBasis::kOwnOrders);
  CHECK(started.fixture.contradictions[1].kind == Contradiction::kSecondRun);
}

TEST_CASE(
    "an enrolled worker that never reports is concluded about as a whole") {
  DispatcherFixture fixture;
  fixture.AddWorker("w0");
  fixture.unresponsive["w0"] = true;
  fixture.FinishLoading();
  fixture.Advance(17s);
  REQUIRE(fixture.conclusions.size() == 1);
  CHECK(fixture.conclusions[0].task == TaskName{});
  CHECK(fixture.conclusions[0].evidence.basis == LeaseBasis::kPredecessors);
  CHECK_FALSE(fixture.conclusions[0].evidence.since_answer);
  fixture.unresponsive["w0"] = false;
  fixture.reports["w0"].runs.push_back({kTask, RunNumber{7}, "", 10});
  fixture.Advance(3s);
  REQUIRE(fixture.contradictions.size() == 1);
  CHECK(fixture.contradictions[0].kind == Contradiction::kStillRunning);
}

TEST_CASE("an end that nothing foresaw is reported if its task runs again") {
  StartedTask started;
  const std::string other = started.first == "w2" ? "w1" : "w2";
  started.fixture.End(other, kTask, RunNumber{7}, RunEnding::kDone);
  started.fixture.Advance(3s);
  REQUIRE(started.fixture.contradictions.size() == 1);
  const RunContradicted& unnoticed = started.fixture.contradictions[0];
  CHECK(unnoticed.kind == Contradiction::kDoneUnnoticed);
  CHECK(unnoticed.run == RunNumber{7});
  CHECK(unnoticed.other_run == started.run);
  CHECK(unnoticed.cause == DecisionCause::kNone);
}

TEST_CASE("an orderly course contradicts nothing") {
  StartedTask started;
  started.fixture.End(started.first, kTask, started.run, RunEnding::kDone);
  started.fixture.Advance(1s);
  CHECK(started.fixture.conclusions.empty());
  CHECK(started.fixture.contradictions.empty());
}

}  // namespace
}  // namespace jasminespar::jobs
