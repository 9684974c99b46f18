// What the log says of guaranteed work that waits: without it, a play in which
// an urgent gang neither started nor preempted (RECLAIM, seed 1074 of
// review/1's day) could not be explained.
#include <algorithm>
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

/// An urgent gang of two whole workers that is accepted now.
AcceptedJob UrgentGang(const DispatcherFixture& fixture) {
  StepSpec step = DispatcherFixture::Step(2, 8);
  step.gang = true;
  AcceptedJob job = DispatcherFixture::Job("a", "urgent", {step});
  job.accepted_at = fixture.now.wall;
  return job;
}

/// @return the details of the explanations, in order.
std::vector<std::string> Explanations(const DispatcherFixture& fixture) {
  std::vector<std::string> details;
  for (const Decision& decision : fixture.decisions) {
    if (decision.kind != DecisionKind::kGuaranteedWorkWaits) continue;
    details.push_back(decision.detail);
  }
  return details;
}

TEST_CASE("guaranteed work that waits names the workers that get no work") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.unresponsive["w2"] = true;
  fixture.Advance(6s);
  fixture.Feed(JobLoaded{UrgentGang(fixture), {}});
  fixture.Advance(fixture.settings.reclaim_within);
  const std::vector<std::string> details = Explanations(fixture);
  REQUIRE(details.size() >= 3);
  CHECK(details.size() <= 5);
  CHECK(details.front() == "no_plan,without_room:0,named:1,w2:silent");
}

TEST_CASE("guaranteed work that waits for reports of other workers says so") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.AddWorker("w3");
  fixture.unresponsive["w3"] = true;
  fixture.Feed(JobLoaded{UrgentGang(fixture), {}});
  fixture.FinishLoading();
  fixture.Advance(fixture.settings.reclaim_within);
  const std::vector<std::string> details = Explanations(fixture);
  REQUIRE_FALSE(details.empty());
  CHECK(details.front() == "earlier_runs");
}

TEST_CASE("nothing is explained where guaranteed work starts at once") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(JobLoaded{UrgentGang(fixture), {}});
  fixture.Advance(200ms);
  CHECK(fixture.starts.size() == 2);
  fixture.AcceptStarts();
  fixture.Advance(fixture.settings.reclaim_within);
  CHECK(Explanations(fixture).empty());
}

}  // namespace
}  // namespace jasminespar::jobs
