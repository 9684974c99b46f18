/// @file
/// Decides whether a failed request is sent again.

#ifndef JASMINESPAR_MEMBERSHIP_RETRY_POLICY_H_
#define JASMINESPAR_MEMBERSHIP_RETRY_POLICY_H_

#include <cstdint>
#include <random>
#include <variant>

#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"

namespace jasminespar::membership {

struct RetrySettings {
  double budget_ratio = 0.1;    ///< Retries earned by each new request.
  double floor_per_second = 1;  ///< Retries earned by time alone.
  double burst = 10;            ///< Unused retries that can accumulate.
  Duration base_delay = 50ms;   ///< Doubles with each attempt.
  Duration delay_limit = 2s;
  std::uint32_t max_attempts = 4;  ///< Per request, with the first one.
};

/// A failed attempt of a request.
struct FailedAttempt {
  Refusal failure;
  Idempotence idempotence = Idempotence::kIdempotent;
  std::uint32_t attempts = 1;  ///< So far, with the failed one.
  TimePoint deadline;
};

struct RetryAfter {
  Duration delay;
};

/// No retry; `refusal` keeps the verdict of the failure.
struct GiveUp {
  Refusal refusal;
};

using RetryDecision = std::variant<RetryAfter, GiveUp>;

/// @return whether another attempt of the same request could succeed; false for
///     errors in the request itself and for final outcomes.
[[nodiscard]] bool IsRetryable(Reason reason);

/// Limits retries by a token bucket. Not thread-safe: one duty owns it.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetrySettings& settings) : settings_(settings) {}

  /// Counts a new request, which earns `budget_ratio` of a retry.
  void RecordRequest(TimePoint now);

  /// Decides whether to retry, and charges a retry to the budget.
  /// @param generator source of the jitter of the delay.
  template <typename Generator>
  [[nodiscard]] RetryDecision Decide(const FailedAttempt& failed, TimePoint now,
                                     Generator& generator) {
    return DecideWith(
        failed, now,
        std::uniform_real_distribution<double>(0.5, 1.0)(generator));
  }

  [[nodiscard]] double tokens() const noexcept { return tokens_; }

 private:
  [[nodiscard]] RetryDecision DecideWith(const FailedAttempt& failed,
                                         TimePoint now, double jitter);
  void EarnTokens(TimePoint now);

  RetrySettings settings_;
  double tokens_ = 0;
  TimePoint last_earned_;
  bool started_ = false;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_RETRY_POLICY_H_
