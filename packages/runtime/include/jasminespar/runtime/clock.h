/// @file
/// The only functions that read clocks. Duties call them and pass the current
/// time to decision code as an argument.

#ifndef JASMINESPAR_RUNTIME_CLOCK_H_
#define JASMINESPAR_RUNTIME_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "jasminespar/core/time.h"

namespace jasminespar::runtime {

/// @return the monotonic time, comparable only within this process.
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
