/// @file
/// Budget of a service that its users share.

#ifndef JASMINESPAR_STANDINS_RATE_BUDGET_H_
#define JASMINESPAR_STANDINS_RATE_BUDGET_H_

#include <algorithm>
#include <chrono>

#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// Token bucket that holds one second's worth.
class RateBudget {
 public:
  /// @param per_second units; above 0.
  explicit RateBudget(double per_second)
      : per_second_(per_second), available_(per_second) {}

  /// @return whether `units` were taken; when not, nothing was.
  [[nodiscard]] bool Take(double units, TimePoint now) {
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

#endif  // JASMINESPAR_STANDINS_RATE_BUDGET_H_
