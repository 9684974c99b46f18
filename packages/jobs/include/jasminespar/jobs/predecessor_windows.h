/// @file
/// How long earlier owners of a cell can still act.

#ifndef JASMINESPAR_JOBS_PREDECESSOR_WINDOWS_H_
#define JASMINESPAR_JOBS_PREDECESSOR_WINDOWS_H_

#include <algorithm>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// How long earlier owners of the cell, which may not know of its present one,
/// can still act.
struct PredecessorWindows {
  Duration renew{};  ///< Of leases.
  Duration start{};  ///< Of tasks.
  bool operator==(const PredecessorWindows&) const = default;
};

/// @return what is left of the windows after `elapsed`.
[[nodiscard]] constexpr PredecessorWindows WindowsAfter(
    const PredecessorWindows& windows, Duration elapsed) noexcept {
  return {std::max(Duration{}, windows.renew - elapsed),
          std::max(Duration{}, windows.start - elapsed)};
}

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_PREDECESSOR_WINDOWS_H_
