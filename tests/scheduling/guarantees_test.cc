/// @file
/// Guarantees: borrowing, reclaim, loss of workers, changes of shares.

#include <catch2/catch.hpp>

#include "jasminespar/scheduling/invariant.h"
#include "jasminespar/scheduling/scheduler.h"
#include "scheduling/fixtures.h"

namespace jasminespar::scheduling {
namespace {

using configuration::ShapeLevel;

configuration::CellShare Share(
    std::vector<configuration::ClientAccount> accounts) {
  configuration::CellShare share;
  share.accounts = std::move(accounts);
  return share;
}

/// One worker of eight, wholly guaranteed to "holder".
Scheduler OneGuaranteedWorker(PolicySettings settings = Immediate()) {
  Scheduler scheduler(settings, Cell(1, 1, 8));
  scheduler.ApplyShare(Share({Account("holder", {{ShapeLevel::kWorker, 1}})}),
                       At(0s));
  return scheduler;
}

TEST_CASE("borrowed accelerators come back when the holder calls") {
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

TEST_CASE("a guaranteed job lets short borrowed work end before it reclaims") {
  Scheduler scheduler = OneGuaranteedWorker(WithoutGivingWay());
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

TEST_CASE("a job with room in its guarantee does not borrow meanwhile") {
  Scheduler scheduler(Checked(), Cell(1, 2, 8));
  scheduler.ApplyShare(Share({Account("a", {{ShapeLevel::kWorker, 1}}),
                              Account("b", {{ShapeLevel::kPair, 1}})}),
                       At(0s));
  // Singles of c leave no pair free, and one accelerator on each worker.
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

TEST_CASE("a job that is not reclaimable never borrows a guarantee") {
  Scheduler scheduler = OneGuaranteedWorker();
  Job job = MakeJob(1, "other", 1);
  job.reclaimable = false;
  REQUIRE_FALSE(scheduler.Enqueue(job, At(0s)));
  CHECK(scheduler.Decide(At(0s)).empty());
  CHECK(scheduler.Explain(job.id, At(0s)));
}

TEST_CASE("a job inside its own guarantee is not reclaimed") {
  Scheduler scheduler(Immediate(), Cell(1, 2, 8));
  scheduler.ApplyShare(Share({Account("a", {{ShapeLevel::kWorker, 1}}),
                              Account("b", {{ShapeLevel::kWorker, 1}})}),
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

TEST_CASE("work that cannot be reclaimed leaves a whole rack for its holder") {
  Scheduler scheduler(Immediate(), Cell(2, 2, 8));
  scheduler.ApplyShare(Share({Account("holder", {{ShapeLevel::kRack, 1}})}),
                       At(0s));
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

TEST_CASE("a lost worker is charged to slack before it makes a fault") {
  auto topology = Cell(1, 3, 8);
  Scheduler scheduler(Immediate(), topology);
  scheduler.ApplyShare(Share({Account("holder", {{ShapeLevel::kWorker, 2}})}),
                       At(0s));
  topology.workers[0].state = configuration::MachineState::kLeaving;
  scheduler.ApplyTopology(topology, At(1s));
  CHECK(scheduler.GuaranteeFaults().empty());
  topology.workers[1].state = configuration::MachineState::kLeaving;
  scheduler.ApplyTopology(topology, At(2s));
  const auto faults = scheduler.GuaranteeFaults();
  REQUIRE_FALSE(faults.empty());
  CHECK(faults.back().level == ShapeLevel::kWorker);
  CHECK(faults.back().missing == 1);
  CHECK(faults.back().accounts == std::vector{ClientAccountId{"holder"}});
  topology.workers[1].state = configuration::MachineState::kLive;
  scheduler.ApplyTopology(topology, At(3s));
  CHECK(scheduler.GuaranteeFaults().empty());
}

TEST_CASE("a gang that ends on a lost worker leaves a fault, not a violation") {
  auto topology = Cell(1, 1, 8);
  Scheduler scheduler = OneGuaranteedWorker();
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "holder", 1), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  topology.workers[0].state = configuration::MachineState::kLeaving;
  scheduler.ApplyTopology(topology, At(1s));
  CHECK(scheduler.GuaranteeFaults().size() == 1);
  scheduler.Release(CallId{1, 1}, At(2s));
  CHECK_NOTHROW(scheduler.Decide(At(2s)));
  CHECK(scheduler.GuaranteeFaults().size() == 4);
}

TEST_CASE("work of a withdrawn guarantee gives way to the new holder") {
  Scheduler scheduler(Immediate(), Cell(1, 1, 8));
  scheduler.ApplyShare(Share({Account("a", {{ShapeLevel::kWorker, 1}})}),
                       At(0s));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 8), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  scheduler.ApplyShare(Share({Account("b", {{ShapeLevel::kWorker, 1}})}),
                       At(1s));
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

TEST_CASE("a cancelled claim leaves the accelerators to others") {
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

TEST_CASE("mutation: without the cover check the invariant is violated") {
  PolicySettings settings = Immediate();
  settings.mutation = Mutation::kSkipCoverCheck;
  Scheduler scheduler = OneGuaranteedWorker(settings);
  Job job = MakeJob(1, "other", 1);
  job.reclaimable = false;
  REQUIRE_FALSE(scheduler.Enqueue(job, At(0s)));
  CHECK_THROWS_AS(scheduler.Decide(At(0s)), InvariantViolation);
}

/// Account a calls eight single accelerators while its tightest places lie on
/// two workers, of which account b is guaranteed one whole.
void CallSinglesBesideWorker(Mutation mutation) {
  PolicySettings settings = Immediate();
  settings.mutation = mutation;
  Scheduler scheduler(settings, Cell(1, 2, 8));
  scheduler.ApplyShare(Share({Account("a", {{ShapeLevel::kAccelerator, 8}}),
                              Account("b", {{ShapeLevel::kWorker, 1}})}),
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
  CHECK_NOTHROW(CallSinglesBesideWorker(Mutation::kNone));
  CHECK_THROWS_AS(CallSinglesBesideWorker(Mutation::kSkipCoverCheck),
                  InvariantViolation);
}

}  // namespace
}  // namespace jasminespar::scheduling
