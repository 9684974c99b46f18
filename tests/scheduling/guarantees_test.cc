/// @file
/// Guarantees: borrowing, reclaim, loss of workers and changes of shares.

#include <catch2/catch.hpp>

#include "jasminespar/scheduling/invariant.h"
#include "jasminespar/scheduling/scheduler.h"
#include "scheduling/fixtures.h"

namespace jasminespar::scheduling {
namespace {

using configuration::ShapeLevel;

configuration::CellShare MakeShare(
    std::vector<configuration::ClientAccount> accounts) {
  configuration::CellShare share;
  share.accounts = std::move(accounts);
  return share;
}

/// One worker with 8 accelerators, all guaranteed to the account "holder".
Scheduler OneGuaranteedWorker(PolicySettings settings = ImmediateReclaim()) {
  Scheduler scheduler(settings, MakeTopology(1, 1, 8));
  scheduler.ApplyShare(
      MakeShare({MakeAccount("holder", {{ShapeLevel::kWorker, 1}})}), At(0s));
  return scheduler;
}

TEST_CASE("borrowed accelerators are reclaimed for calls of the holder") {
  Scheduler scheduler = OneGuaranteedWorker();
  for (std::uint64_t i = 1; i <= 8; ++i) {
    REQUIRE_FALSE(scheduler.Enqueue(MakeJob(i, "other", 1), At(0s)));
  }
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 8);
  REQUIRE_FALSE(scheduler.Enqueue(
      MakeJob(9, "holder", 8, Adjacency::kWorker, 1s), At(1s)));
  const auto actions = scheduler.Decide(At(1s));
  const auto reclaims = ActionsOf<ReclaimGang>(actions);
  REQUIRE(reclaims.size() == 8);
  CHECK(StartsIn(actions).empty());
  for (std::size_t i = 0; i < 7; ++i) scheduler.Release(reclaims[i].id, At(2s));
  CHECK(StartsIn(scheduler.Decide(At(2s))).empty());
  scheduler.Release(reclaims[7].id, At(3s));
  const auto starts = StartsIn(scheduler.Decide(At(3s)));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].id == CallId{1, 9});
}

TEST_CASE(
    "a guaranteed job lets borrowed work end for a delay before it reclaims") {
  Scheduler scheduler = OneGuaranteedWorker(WithoutPreemption());
  for (std::uint64_t i = 1; i <= 8; ++i) {
    REQUIRE_FALSE(scheduler.Enqueue(MakeJob(i, "other", 1), At(0s)));
  }
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 8);
  for (std::uint64_t i = 9; i <= 10; ++i) {
    REQUIRE_FALSE(scheduler.Enqueue(
        MakeJob(i, "holder", 1, Adjacency::kAny, 1s), At(1s)));
  }
  CHECK(scheduler.Decide(At(1s)).empty());
  CHECK(scheduler.NextDecision(At(1s)) == At(1300ms));
  scheduler.Release(CallId{1, 4}, At(1100ms));
  CHECK(StartsIn(scheduler.Decide(At(1100ms))).size() == 1);
  CHECK(ActionsOf<ReclaimGang>(scheduler.Decide(At(1300ms))).size() == 1);
}

TEST_CASE("a job with room in its guarantee does not borrow during the delay") {
  Scheduler scheduler(FullyValidated(), MakeTopology(1, 2, 8));
  scheduler.ApplyShare(MakeShare({MakeAccount("a", {{ShapeLevel::kWorker, 1}}),
                                  MakeAccount("b", {{ShapeLevel::kPair, 1}})}),
                       At(0s));
  // Jobs of c then leave one accelerator free on each worker, so no pair.
  for (std::uint64_t i = 1; i <= 16; ++i) {
    REQUIRE_FALSE(scheduler.Enqueue(MakeJob(i, "c", 1), At(0s)));
  }
  const auto starts = StartsIn(scheduler.Decide(At(0s)));
  REQUIRE(starts.size() == 16);
  for (const StartGang& start : starts) {
    if (start.placement.parts[0].accelerators == 1) {
      scheduler.Release(start.id, At(1s));
    }
  }
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(20, "b", 2, Adjacency::kAny, 1s), At(1s)));
  CHECK(scheduler.Decide(At(1s)).empty());
  const auto actions = scheduler.Decide(At(1300ms));
  CHECK(ActionsOf<ReclaimGang>(actions).size() == 1);
}

TEST_CASE(
    "a job that is not reclaimable never borrows guaranteed accelerators") {
  Scheduler scheduler = OneGuaranteedWorker();
  Job job = MakeJob(1, "other", 1);
  job.reclaimable = false;
  REQUIRE_FALSE(scheduler.Enqueue(job, At(0s)));
  CHECK(scheduler.Decide(At(0s)).empty());
  CHECK(scheduler.Explain(job.id, At(0s)));
}

TEST_CASE("a job inside its own guarantee is not reclaimed") {
  Scheduler scheduler(ImmediateReclaim(), MakeTopology(1, 2, 8));
  scheduler.ApplyShare(
      MakeShare({MakeAccount("a", {{ShapeLevel::kWorker, 1}}),
                 MakeAccount("b", {{ShapeLevel::kWorker, 1}})}),
      At(0s));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 8), At(0s)));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(2, "a", 8), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 2);
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(3, "b", 8, Adjacency::kAny, 1s), At(1s)));
  const auto reclaims = ActionsOf<ReclaimGang>(scheduler.Decide(At(1s)));
  REQUIRE(reclaims.size() == 1);
  CHECK(reclaims[0].id == CallId{1, 2});
}

TEST_CASE("jobs that are not reclaimable leave a whole guaranteed rack free") {
  Scheduler scheduler(ImmediateReclaim(), MakeTopology(2, 2, 8));
  scheduler.ApplyShare(
      MakeShare({MakeAccount("holder", {{ShapeLevel::kRack, 1}})}), At(0s));
  for (std::uint64_t i = 1; i <= 32; ++i) {
    Job job = MakeJob(i, "other", 1);
    job.reclaimable = false;
    REQUIRE_FALSE(scheduler.Enqueue(job, At(0s)));
  }
  CHECK(StartsIn(scheduler.Decide(At(0s))).size() == 16);
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(99, "holder", 16, Adjacency::kRack), At(0s)));
  CHECK(StartsIn(scheduler.Decide(At(0s))).size() == 1);
}

TEST_CASE("a lost worker uses up spare capacity before it causes a deficit") {
  auto topology = MakeTopology(1, 3, 8);
  Scheduler scheduler(ImmediateReclaim(), topology);
  scheduler.ApplyShare(
      MakeShare({MakeAccount("holder", {{ShapeLevel::kWorker, 2}})}), At(0s));
  topology.workers[0].state = configuration::MachineState::kLeaving;
  scheduler.ApplyTopology(topology, At(1s));
  CHECK(scheduler.GuaranteeDeficits().empty());
  topology.workers[1].state = configuration::MachineState::kLeaving;
  scheduler.ApplyTopology(topology, At(2s));
  const auto faults = scheduler.GuaranteeDeficits();
  REQUIRE_FALSE(faults.empty());
  CHECK(faults.back().level == ShapeLevel::kWorker);
  CHECK(faults.back().missing == 1);
  CHECK(faults.back().accounts == std::vector{ClientAccountId{"holder"}});
  topology.workers[1].state = configuration::MachineState::kLive;
  scheduler.ApplyTopology(topology, At(3s));
  CHECK(scheduler.GuaranteeDeficits().empty());
}

TEST_CASE(
    "a gang that ends on a lost worker leaves a deficit, not a violation") {
  auto topology = MakeTopology(1, 1, 8);
  Scheduler scheduler = OneGuaranteedWorker();
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "holder", 1), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  topology.workers[0].state = configuration::MachineState::kLeaving;
  scheduler.ApplyTopology(topology, At(1s));
  CHECK(scheduler.GuaranteeDeficits().size() == 1);
  scheduler.Release(CallId{1, 1}, At(2s));
  CHECK_NOTHROW(scheduler.Decide(At(2s)));
  CHECK(scheduler.GuaranteeDeficits().size() == 4);
}

TEST_CASE("work of a withdrawn guarantee is reclaimed for the new holder") {
  Scheduler scheduler(ImmediateReclaim(), MakeTopology(1, 1, 8));
  scheduler.ApplyShare(
      MakeShare({MakeAccount("a", {{ShapeLevel::kWorker, 1}})}), At(0s));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 8), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  scheduler.ApplyShare(
      MakeShare({MakeAccount("b", {{ShapeLevel::kWorker, 1}})}), At(1s));
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(2, "b", 8, Adjacency::kAny, 1s), At(1s)));
  CHECK(ActionsOf<ReclaimGang>(scheduler.Decide(At(1s))).size() == 1);
}

TEST_CASE("a gang adopted inside its guarantee is not reclaimed") {
  Scheduler scheduler = OneGuaranteedWorker();
  scheduler.Adopt(MakeJob(1, "holder", 4), Placement{{{WorkerId{1}, 0xF0}}},
                  At(0s));
  scheduler.Adopt(MakeJob(2, "other", 4), Placement{{{WorkerId{1}, 0x0F}}},
                  At(0s));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(3, "holder", 4), At(0s)));
  const auto reclaims = ActionsOf<ReclaimGang>(scheduler.Decide(At(0s)));
  REQUIRE(reclaims.size() == 1);
  CHECK(reclaims[0].id == CallId{1, 2});
}

TEST_CASE("accelerators of a cancelled claim become free") {
  Scheduler scheduler = OneGuaranteedWorker();
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "other", 8), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(2, "holder", 8), At(0s)));
  REQUIRE(ActionsOf<ReclaimGang>(scheduler.Decide(At(0s))).size() == 1);
  CHECK(scheduler.Remove(CallId{1, 2}));
  scheduler.Release(CallId{1, 1}, At(1s));
  CHECK(scheduler.Decide(At(1s)).empty());
  CHECK(scheduler.Summary(At(1s)).free_accelerators == 8);
}

TEST_CASE("mutation: without the feasibility check the invariant is violated") {
  PolicySettings settings = ImmediateReclaim();
  settings.mutation = Mutation::kSkipFeasibilityCheck;
  Scheduler scheduler = OneGuaranteedWorker(settings);
  Job job = MakeJob(1, "other", 1);
  job.reclaimable = false;
  REQUIRE_FALSE(scheduler.Enqueue(job, At(0s)));
  CHECK_THROWS_AS(scheduler.Decide(At(0s)), InvariantViolation);
}

/// Account a requests eight single accelerators while the best-fit places for
/// them lie on two workers, and account b is guaranteed one whole worker.
void RequestSinglesBesideWorker(Mutation mutation) {
  PolicySettings settings = ImmediateReclaim();
  settings.mutation = mutation;
  Scheduler scheduler(settings, MakeTopology(1, 2, 8));
  scheduler.ApplyShare(
      MakeShare({MakeAccount("a", {{ShapeLevel::kAccelerator, 8}}),
                 MakeAccount("b", {{ShapeLevel::kWorker, 1}})}),
      At(0s));
  for (std::uint64_t i = 1; i <= 14; ++i) {
    REQUIRE_FALSE(scheduler.Enqueue(MakeJob(i, "c", 1), At(0s)));
  }
  static_cast<void>(scheduler.Decide(At(0s)));
  for (std::uint64_t i = 1; i <= 14; i += 2) {
    scheduler.Release(CallId{1, i}, At(1s));
  }
  for (std::uint64_t i = 21; i <= 28; ++i) {
    REQUIRE_FALSE(
        scheduler.Enqueue(MakeJob(i, "a", 1, Adjacency::kAny, 1s), At(1s)));
    static_cast<void>(scheduler.Decide(At(1s)));
  }
}

TEST_CASE("mutation: without the split check the invariant is violated") {
  CHECK_NOTHROW(RequestSinglesBesideWorker(Mutation::kNone));
  CHECK_THROWS_AS(RequestSinglesBesideWorker(Mutation::kSkipFeasibilityCheck),
                  InvariantViolation);
}

}  // namespace
}  // namespace jasminespar::scheduling
