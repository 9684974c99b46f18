/// @file
/// Starts of gangs, queue limits and queue policies of a Scheduler.

#include <catch2/catch.hpp>

#include "jasminespar/scheduling/scheduler.h"
#include "scheduling/fixtures.h"

namespace jasminespar::scheduling {
namespace {

TEST_CASE("a gang starts with all accelerators or not at all") {
  Scheduler scheduler(FullyValidated(), MakeTopology(2, 1, 8));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 12), At(0s)));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(2, "a", 12), At(0s)));
  const auto starts = StartsIn(scheduler.Decide(At(0s)));
  REQUIRE(starts.size() == 1);
  CHECK(CountAccelerators(starts[0].placement) == 12);
  CHECK(scheduler.Summary(At(0s)).free_accelerators == 4);
  scheduler.Release(starts[0].id, At(1s));
  CHECK(StartsIn(scheduler.Decide(At(1s))).size() == 1);
}

TEST_CASE("placements keep the requested adjacency") {
  Scheduler scheduler(FullyValidated(), MakeTopology(2, 2, 8));
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(1, "a", 5, Adjacency::kWorker), At(0s)));
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(2, "a", 5, Adjacency::kWorker), At(0s)));
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(3, "a", 16, Adjacency::kRack), At(0s)));
  const auto starts = StartsIn(scheduler.Decide(At(0s)));
  REQUIRE(starts.size() == 3);
  CHECK(starts[0].placement.parts.size() == 1);
  CHECK(starts[1].placement.parts.size() == 1);
  CHECK(starts[2].placement.parts.size() == 2);
}

TEST_CASE("a gang that can never run is refused as not run") {
  Scheduler scheduler(FullyValidated(), MakeTopology(2, 2, 8));
  const auto refusal =
      scheduler.Enqueue(MakeJob(1, "a", 9, Adjacency::kWorker), At(0s));
  REQUIRE(refusal);
  CHECK(refusal->reason == Reason::kGangImpossible);
  CHECK(refusal->verdict == Verdict::kNotRun);
}

TEST_CASE("queues are limited for the cell and for each account") {
  PolicySettings settings = FullyValidated();
  settings.max_waiting_jobs = 3;
  Scheduler scheduler(settings, MakeTopology(1, 1, 1));
  configuration::CellShare share;
  share.accounts.push_back(MakeAccount("a", {}));
  share.accounts[0].max_waiting_calls = 1;
  scheduler.ApplyShare(share, At(0s));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 1), At(0s)));
  const auto of_account = scheduler.Enqueue(MakeJob(2, "a", 1), At(0s));
  REQUIRE(of_account);
  CHECK(of_account->reason == Reason::kAccountQueueFull);
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(3, "b", 1), At(0s)));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(4, "b", 1), At(0s)));
  const auto of_cell = scheduler.Enqueue(MakeJob(5, "b", 1), At(0s));
  REQUIRE(of_cell);
  CHECK(of_cell->reason == Reason::kQueueFull);
  CHECK(of_cell->retry_after > Duration{});
}

TEST_CASE("a job that waits past its deadline is dropped as not run") {
  Scheduler scheduler(WithoutPreemption(), MakeTopology(1, 1, 1));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 1), At(0s)));
  Job late = MakeJob(2, "a", 1);
  late.deadline = At(5s);
  REQUIRE_FALSE(scheduler.Enqueue(late, At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  CHECK(scheduler.NextDecision(At(0s)) == At(5s));
  const auto actions = scheduler.Decide(At(5s));
  REQUIRE(actions.size() == 1);
  const auto& drop = std::get<DropJob>(actions[0]);
  CHECK(drop.refusal.reason == Reason::kDeadlinePassed);
  CHECK(drop.refusal.verdict == Verdict::kNotRun);
}

TEST_CASE(
    "first come, first served: a gang that does not fit blocks later jobs") {
  PolicySettings settings = FullyValidated();
  settings.queue = FirstComeFirstServed{};
  settings.placement = FirstFit{};
  Scheduler scheduler(settings, MakeTopology(1, 1, 8));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 4), At(0s)));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(2, "a", 8), At(0s)));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(3, "a", 1), At(0s)));
  CHECK(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  CHECK(scheduler.Remove(MakeJob(2, "a", 8).id));
  CHECK(StartsIn(scheduler.Decide(At(0s))).size() == 1);
}

TEST_CASE("every policy name is at the index of its variant alternative") {
  for (const auto& row : kQueuePolicyNames) {
    CHECK(MakeQueuePolicy(row.value).index() ==
          static_cast<std::size_t>(row.value));
  }
  for (const auto& row : kPlacementPolicyNames) {
    CHECK(MakePlacementPolicy(row.value).index() ==
          static_cast<std::size_t>(row.value));
  }
}

}  // namespace
}  // namespace jasminespar::scheduling
