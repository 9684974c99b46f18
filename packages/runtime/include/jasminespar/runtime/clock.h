/// @file
/// The only place that reads clocks. Duties read them at their edge and pass
/// the present time to the code that decides.

#ifndef JASMINESPAR_RUNTIME_CLOCK_H_
#define JASMINESPAR_RUNTIME_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "jasminespar/core/time.h"

namespace jasminespar::runtime {

/// @return the monotonic time of this process.
[[nodiscard]] inline TimePoint SteadyNow() noexcept {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// @return milliseconds since the Unix epoch.
[[nodiscard]] inline std::int64_t WallMilliseconds() noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_CLOCK_H_
