/// @file
/// The only functions that read clocks. Duties call them and pass the current
/// time to decision code as an argument.

#ifndef JASMINESPAR_RUNTIME_CLOCK_H_
#define JASMINESPAR_RUNTIME_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <ctime>

#include "jasminespar/core/time.h"

namespace jasminespar::runtime {

/// @return the monotonic time, comparable only within this process. It goes on
///     while the machine is suspended, unlike std::chrono::steady_clock, so
///     that a lease or another permission also expires meanwhile.
[[nodiscard]] inline TimePoint SteadyNow() noexcept {
  std::timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/// @return milliseconds since the Unix epoch.
[[nodiscard]] inline std::int64_t WallMilliseconds() noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_CLOCK_H_
