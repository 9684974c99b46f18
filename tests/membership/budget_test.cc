#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "jasminespar/membership/retry_policy.h"
#include "jasminespar/membership/write_budget.h"

namespace jasminespar::membership {
namespace {

const TimePoint kStart{1000s};
const Batch kUrgent{1, 100, true};

TEST_CASE("A single record is written at once while tokens are left") {
  WriteBudget budget({});
  budget.SetOwnerCount(6, kStart);
  CHECK(budget.NextWriteTime(kUrgent, kStart) == kStart);
  CHECK(budget.NextWriteTime(Batch{1, 100, false}, kStart) == kStart);
  CHECK_FALSE(budget.NextWriteTime(Batch{}, kStart).has_value());
}

TEST_CASE("The owners together stay within the site's budget") {
  const std::size_t owners = GENERATE(1, 6, 60);
  std::vector<WriteBudget> budgets(owners, WriteBudget({}));
  for (WriteBudget& budget : budgets) budget.SetOwnerCount(owners, kStart);
  std::size_t writes = 0;
  for (Duration at = 0s; at < 60s; at += 1ms) {
    for (WriteBudget& budget : budgets) {
      if (*budget.NextWriteTime(kUrgent, kStart + at) > kStart + at) continue;
      budget.RecordWrite(1, kStart + at);
      ++writes;
    }
  }
  CHECK(writes > 60 * 240 * 0.95);
  CHECK(writes <= 60 * 240 + 4 * owners);
}

TEST_CASE("After an outage the owners retry at different times") {
  std::mt19937_64 generator(1);
  std::set<TimePoint> retry_times;
  for (int owner = 0; owner < 50; ++owner) {
    WriteBudget budget({});
    budget.SetOwnerCount(50, kStart);
    for (int i = 0; i < 10; ++i) budget.RecordFailure(kStart, generator);
    retry_times.insert(*budget.NextWriteTime(kUrgent, kStart));
  }
  CHECK(retry_times.size() == 50);
  CHECK(*retry_times.begin() >= kStart + 5s);
  CHECK(*retry_times.rbegin() - *retry_times.begin() > 5s);
}

FailedAttempt Failure(Reason reason, Verdict verdict, Idempotence idempotence) {
  FailedAttempt failed;
  failed.failure.reason = reason;
  failed.failure.verdict = verdict;
  failed.idempotence = idempotence;
  failed.deadline = kStart + 1h;
  return failed;
}

TEST_CASE("A non-idempotent request that may have run is never retried") {
  std::mt19937_64 generator(1);
  RetryPolicy policy({});
  for (const ReasonRow& row : kReasons) {
    for (const Verdict verdict : {Verdict::kMayHaveRun, Verdict::kRan}) {
      const auto decision = policy.Decide(
          Failure(row.value, verdict, Idempotence::kNonIdempotent), kStart,
          generator);
      REQUIRE(std::get<GiveUp>(decision).refusal.verdict == verdict);
    }
  }
}

TEST_CASE("Retries stay within a tenth of the requests plus the floor rate") {
  std::mt19937_64 generator(1);
  RetryPolicy policy({});
  int retries = 0;
  for (int i = 0; i < 100'000; ++i) {
    const TimePoint now = kStart + i * 100us;
    policy.RecordRequest(now);
    const auto decision = policy.Decide(
        Failure(Reason::kNoOwner, Verdict::kNotRun, Idempotence::kIdempotent),
        now, generator);
    if (std::holds_alternative<RetryAfter>(decision)) {
      ++retries;
    } else {
      const Refusal& refusal = std::get<GiveUp>(decision).refusal;
      REQUIRE(refusal.reason == Reason::kRetryBudgetSpent);
    }
  }
  CHECK(retries <= 10'000 + 10 + 10);
  CHECK(retries > 9'900);
}

TEST_CASE("No retry starts after the deadline or beyond the attempt limit") {
  std::mt19937_64 generator(1);
  RetryPolicy policy({});
  FailedAttempt failed =
      Failure(Reason::kNoOwner, Verdict::kNotRun, Idempotence::kIdempotent);
  failed.deadline = kStart + 10ms;
  CHECK(
      std::holds_alternative<GiveUp>(policy.Decide(failed, kStart, generator)));
  failed.deadline = kStart + 1h;
  CHECK(std::holds_alternative<RetryAfter>(
      policy.Decide(failed, kStart, generator)));
  failed.attempts = 4;
  CHECK(
      std::holds_alternative<GiveUp>(policy.Decide(failed, kStart, generator)));
}

}  // namespace
}  // namespace jasminespar::membership
