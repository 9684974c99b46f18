/// @file
/// Queue order: reservations, short jobs, preemption, early refusal, urgency.

#include <catch2/catch.hpp>

#include "jasminespar/scheduling/scheduler.h"
#include "scheduling/fixtures.h"

namespace jasminespar::scheduling {
namespace {

TEST_CASE("two gangs that waited long do not preempt each other") {
  Scheduler scheduler(WithoutPreemption(), MakeTopology(1, 2, 8));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 16), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  for (std::uint64_t i = 2; i <= 3; ++i) {
    REQUIRE_FALSE(
        scheduler.Enqueue(MakeJob(i, "a", 16, Adjacency::kAny, 1s), At(1s)));
  }
  static_cast<void>(scheduler.Decide(At(40s)));
  scheduler.Release(CallId{1, 1}, At(50s));
  const auto starts = StartsIn(scheduler.Decide(At(50s)));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].id == CallId{1, 2});
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(4, "a", 1, Adjacency::kAny, 50s), At(50s)));
  CHECK(scheduler.Decide(At(50s)).empty());
  scheduler.RecordResult(CallId{1, 9}, WorkerId{1}, TaskResult::kSucceeded,
                         At(50s));
  scheduler.ApplyTopology(MakeTopology(1, 2, 8), At(50s));
  CHECK(scheduler.Decide(At(50s)).empty());
}

TEST_CASE("a large gang that waited long gets its accelerators") {
  Scheduler scheduler(WithoutPreemption(), MakeTopology(1, 1, 8));
  for (std::uint64_t i = 1; i <= 8; ++i) {
    REQUIRE_FALSE(scheduler.Enqueue(MakeJob(i, "a", 1), At(0s)));
  }
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 8);
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(50, "a", 8, Adjacency::kWorker, 1s), At(1s)));
  static_cast<void>(scheduler.Decide(At(1s)));
  CHECK(scheduler.NextDecision(At(1s)) == At(31s));
  static_cast<void>(scheduler.Decide(At(31s)));
  // Short jobs still start on reserved accelerators and are reclaimed once the
  // gang can have them all.
  std::uint64_t next = 100;
  std::vector<CallId> reclaimed;
  for (std::uint64_t i = 1; i <= 8; ++i) {
    const TimePoint now = At(31s + std::chrono::seconds(i));
    Job job = MakeJob(next++, "b", 1);
    job.arrival = now;
    REQUIRE_FALSE(scheduler.Enqueue(job, now));
    scheduler.Release(CallId{1, i}, now);
    const auto actions = scheduler.Decide(now);
    for (const auto& reclaim : ActionsOf<ReclaimGang>(actions)) {
      reclaimed.push_back(reclaim.id);
    }
  }
  CHECK(reclaimed.size() == 7);
  for (const CallId& id : reclaimed) scheduler.Release(id, At(50s));
  const auto starts = StartsIn(scheduler.Decide(At(50s)));
  REQUIRE_FALSE(starts.empty());
  CHECK(starts[0].id == CallId{1, 50});
}

TEST_CASE("a reclaimed job queues behind new short jobs") {
  Scheduler scheduler(FullyValidated(), MakeTopology(1, 1, 1));
  configuration::CellShare share;
  share.accounts.push_back(
      MakeAccount("holder", {{configuration::ShapeLevel::kAccelerator, 1}}));
  scheduler.ApplyShare(share, At(0s));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 1), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(2, "holder", 1, Adjacency::kAny, 15s),
                                  At(15s)));
  static_cast<void>(scheduler.Decide(At(16s)));
  scheduler.Release(CallId{1, 1}, At(16s));
  REQUIRE(StartsIn(scheduler.Decide(At(16s))).size() == 1);
  REQUIRE_FALSE(scheduler.Enqueue(
      MakeJob(1, "a", 1, Adjacency::kAny, 16s - 1us), At(16s)));
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(3, "a", 1, Adjacency::kAny, 16s), At(16s)));
  scheduler.Release(CallId{1, 2}, At(17s));
  const auto starts = StartsIn(scheduler.Decide(At(17s)));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].id == CallId{1, 3});
}

TEST_CASE("a call that would start after its deadline is refused early") {
  Scheduler scheduler(FullyValidated(), MakeTopology(1, 1, 1));
  std::uint64_t next = 1;
  TimePoint now;
  // One start per second.
  for (; next <= 20; ++next) {
    Job job = MakeJob(next, "a", 1);
    job.arrival = now;
    REQUIRE_FALSE(scheduler.Enqueue(job, now));
    REQUIRE(StartsIn(scheduler.Decide(now)).size() == 1);
    now += 1s;
    if (next < 20) scheduler.Release(job.id, now);
  }
  std::optional<Refusal> refusal;
  for (int i = 0; i < 10 && !refusal; ++i) {
    Job job = MakeJob(next++, "a", 1);
    job.arrival = now;
    job.deadline = now + 5s;
    refusal = scheduler.Enqueue(job, now);
  }
  REQUIRE(refusal);
  CHECK(refusal->reason == Reason::kDeadlineUnreachable);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after > Duration{});
}

TEST_CASE("a long job is preempted for a waiting short job") {
  Scheduler scheduler(FullyValidated(), MakeTopology(1, 1, 1));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 1), At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  REQUIRE_FALSE(
      scheduler.Enqueue(MakeJob(2, "b", 1, Adjacency::kAny, 30s), At(30s)));
  CHECK(scheduler.Decide(At(30s)).empty());
  REQUIRE(scheduler.NextDecision(At(30s)) == At(30200ms));
  const auto reclaims = ActionsOf<ReclaimGang>(scheduler.Decide(At(30200ms)));
  REQUIRE(reclaims.size() == 1);
  CHECK(reclaims[0].id == CallId{1, 1});
  // The long job returns at a worse level and queues behind the short one.
  scheduler.Release(CallId{1, 1}, At(31s));
  REQUIRE_FALSE(scheduler.Enqueue(MakeJob(1, "a", 1), At(31s)));
  const auto starts = StartsIn(scheduler.Decide(At(31s)));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].id == CallId{1, 2});
}

TEST_CASE("an urgent job preempts a borrowed batch job") {
  Scheduler scheduler(FullyValidated(), MakeTopology(1, 1, 8));
  Job batch = MakeJob(1, "a", 8);
  batch.priority = Priority::kBatch;
  REQUIRE_FALSE(scheduler.Enqueue(batch, At(0s)));
  REQUIRE(StartsIn(scheduler.Decide(At(0s))).size() == 1);
  Job urgent = MakeJob(2, "b", 2, Adjacency::kAny, 1s);
  urgent.priority = Priority::kUrgent;
  REQUIRE_FALSE(scheduler.Enqueue(urgent, At(1s)));
  CHECK(ActionsOf<ReclaimGang>(scheduler.Decide(At(1s))).size() == 1);
  scheduler.Release(batch.id, At(2s));
  const auto starts = StartsIn(scheduler.Decide(At(2s)));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].id == urgent.id);
}

}  // namespace
}  // namespace jasminespar::scheduling
