/// @file
/// The one place that decides whether a failed request is sent again.

#ifndef JASMINESPAR_MEMBERSHIP_RETRY_POLICY_H_
#define JASMINESPAR_MEMBERSHIP_RETRY_POLICY_H_

#include <cstdint>
#include <random>
#include <variant>

#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"

namespace jasminespar::membership {

struct RetrySettings {
  double budget_ratio = 0.1;    ///< Retries earned by each first request.
  double floor_per_second = 1;  ///< Retries earned without any request.
  double burst = 10;            ///< Most retries that can be saved up.
  Duration base_delay = 50ms;   ///< Doubles with each try.
  Duration delay_limit = 2s;
  std::uint32_t max_tries = 4;  ///< Of one request, the first included.
};

/// Why a request failed and what is left for it.
struct FailedTry {
  Refusal failure;
  Idempotence idempotence = Idempotence::kIdempotent;
  std::uint32_t tries = 1;  ///< So far, the failed one included.
  TimePoint deadline;
};

struct RetryAfter {
  Duration delay;
};

/// Final; carries the verdict of the failure.
struct GiveUp {
  Refusal refusal;
};

using RetryDecision = std::variant<RetryAfter, GiveUp>;

/// @return whether another try of the same request could succeed; false for
///     faults of the request itself and for final outcomes.
[[nodiscard]] bool IsRetryable(Reason reason);

/// Not thread-safe: one duty owns it.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetrySettings& settings) : settings_(settings) {}

  /// Counts a first request, which earns a part of a retry.
  void RecordRequest(TimePoint now);

  /// Decides and, for a retry, charges it to the budget.
  /// @param generator for the jitter of the delay.
  template <typename Generator>
  [[nodiscard]] RetryDecision Decide(const FailedTry& failed, TimePoint now,
                                     Generator& generator) {
    return DecideWith(
        failed, now,
        std::uniform_real_distribution<double>(0.5, 1.0)(generator));
  }

  [[nodiscard]] double tokens() const noexcept { return tokens_; }

 private:
  [[nodiscard]] RetryDecision DecideWith(const FailedTry& failed, TimePoint now,
                                         double jitter);
  void Earn(TimePoint now);

  RetrySettings settings_;
  double tokens_ = 0;
  TimePoint earned_;
  bool started_ = false;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_RETRY_POLICY_H_
