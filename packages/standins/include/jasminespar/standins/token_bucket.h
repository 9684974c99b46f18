/// @file
/// Rate limit of a service, shared by all its clients.

#ifndef JASMINESPAR_STANDINS_TOKEN_BUCKET_H_
#define JASMINESPAR_STANDINS_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// Token bucket with a capacity of one second's tokens; starts full.
class TokenBucket {
 public:
  /// @param per_second tokens added each second; above 0.
  explicit TokenBucket(double per_second)
      : per_second_(per_second), available_(per_second) {}

  /// Takes `units` tokens, or none when there are fewer.
  /// @return whether they were taken.
  [[nodiscard]] bool TryTake(double units, TimePoint now) {
    const std::chrono::duration<double> elapsed = now - refilled_;
    refilled_ = now;
    available_ =
        std::min(per_second_, available_ + elapsed.count() * per_second_);
    if (available_ < units) return false;
    available_ -= units;
    return true;
  }

 private:
  double per_second_;
  double available_;
  TimePoint refilled_{};
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_TOKEN_BUCKET_H_
