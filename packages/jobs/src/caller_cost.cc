#include "jasminespar/jobs/caller_cost.h"

namespace jasminespar::jobs {

namespace {

/// A job that is older than this many times the end of its value is overdue.
constexpr int kOverdueFactor = 2;

}  // namespace

bool IsOverdue(Duration age, Duration objective) noexcept {
  return age > kOverdueFactor * kNoValueFactor * objective;
}

}  // namespace jasminespar::jobs
