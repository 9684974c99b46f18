/// @file
/// When a caller whose job was refused is told to come back.

#ifndef JASMINESPAR_JOBS_RETRY_ADVICE_H_
#define JASMINESPAR_JOBS_RETRY_ADVICE_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "jasminespar/core/digest.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// Callers retry a few times only. An outage that has lasted for a while will
/// probably last about as long again, so that its callers are told to wait
/// longer and still have retries left when it ends; they return spread over a
/// second instead of at once. Not thread-safe.
class RetryAdvice {
 public:
  using Seconds = std::chrono::seconds;

  static constexpr Seconds kMinWait{1};
  static constexpr Seconds kMaxWait{4};

  /// Records whether the table is reachable.
  void HandleReachable(bool reachable, TimePoint now) {
    if (reachable) {
      outage_since_.reset();
    } else if (!outage_since_) {
      outage_since_ = now;
    }
  }

  /// @return how long the caller of the job should wait.
  [[nodiscard]] Seconds WaitOf(const JobId& job, TimePoint now) const {
    const Duration lasted = outage_since_ ? now - *outage_since_ : Duration{};
    const auto expected = std::chrono::duration_cast<Seconds>(lasted);
    // In a short outage everyone may return at once.
    const auto spread = static_cast<Seconds::rep>(
        expected >= kMinWait ? SeededHash(job.value, 0) % 2 : 0);
    return std::clamp(expected, kMinWait, kMaxWait - Seconds(1)) +
           Seconds(spread);
  }

 private:
  std::optional<TimePoint> outage_since_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_RETRY_ADVICE_H_
