#include "jasminespar/membership/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace jasminespar::membership {

bool IsRetryable(Reason reason) {
  switch (reason) {
    case Reason::kQueueFull:
    case Reason::kConnectionLimit:
    case Reason::kRingFull:
    case Reason::kMemoryLimit:
    case Reason::kNoOwner:
    case Reason::kOwnerUnreachable:
    case Reason::kNotOwner:
    case Reason::kStaleEpoch:
    case Reason::kRecovering:
    case Reason::kShuttingDown:
    case Reason::kStoreUnavailable:
    case Reason::kWorkerRefused:
    case Reason::kWorkerUnreachable:
    case Reason::kWorkerLost:
    case Reason::kWorkerLeaving:
    case Reason::kGangMemberLost:
    case Reason::kHoldExpired:
    case Reason::kReclaimed:
    case Reason::kAnswerDamaged:
    case Reason::kNoConfiguration:
    case Reason::kOutcomeUnknown:
      return true;
    case Reason::kMalformedRequest:
    case Reason::kMissingIdempotencyKey:
    case Reason::kUnknownClientAccount:
    case Reason::kUnknownService:
    case Reason::kBodyTooLarge:
    case Reason::kHeadersTooLarge:
    case Reason::kFramingTooLarge:
    case Reason::kClientTooSlow:
    case Reason::kKeyReused:
    case Reason::kGangImpossible:
    case Reason::kNotFound:
    case Reason::kRetentionPassed:
    case Reason::kAccountQueueFull:
    case Reason::kDeadlineUnreachable:
    case Reason::kDeadlinePassed:
    case Reason::kRetryBudgetSpent:
    case Reason::kHopLimit:
    case Reason::kCancelled:
    case Reason::kEndpointFailed:
    case Reason::kPoisonJob:
    case Reason::kRevisionConflict:
    case Reason::kInvalidNote:
    case Reason::kUnknownQueue:
    case Reason::kUnknownKey:
    case Reason::kUnknownJob:
      return false;
  }
  return false;
}

void RetryPolicy::RecordRequest(TimePoint now) {
  EarnTokens(now);
  tokens_ = std::min(settings_.burst, tokens_ + settings_.budget_ratio);
}

RetryDecision RetryPolicy::DecideWith(const FailedAttempt& failed,
                                      TimePoint now, double jitter) {
  EarnTokens(now);
  const Refusal& failure = failed.failure;
  const bool repeatable = failure.verdict == Verdict::kNotRun ||
                          failed.idempotence == Idempotence::kIdempotent;
  if (!repeatable || !IsRetryable(failure.reason) ||
      failed.attempts >= settings_.max_attempts) {
    return GiveUp{failure};
  }
  constexpr std::uint32_t kMaxDoublings = 16;
  const double factor =
      std::exp2(std::min(failed.attempts - 1, kMaxDoublings)) * jitter;
  const auto backoff = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(settings_.base_delay.count()) * factor));
  const Duration delay =
      failure.retry_after + std::min(backoff, settings_.delay_limit);
  if (now + delay >= failed.deadline) return GiveUp{failure};
  if (tokens_ < 1) {
    Refusal spent = failure;
    spent.reason = Reason::kRetryBudgetSpent;
    spent.detail = std::string(NameOf(failure.reason));
    return GiveUp{std::move(spent)};
  }
  tokens_ -= 1;
  return RetryAfter{delay};
}

void RetryPolicy::EarnTokens(TimePoint now) {
  if (!started_) {
    started_ = true;
    tokens_ = settings_.burst;
  } else if (now > last_earned_) {
    const double seconds =
        std::chrono::duration<double>(now - last_earned_).count();
    tokens_ = std::min(settings_.burst,
                       tokens_ + seconds * settings_.floor_per_second);
  }
  last_earned_ = now;
}

}  // namespace jasminespar::membership
