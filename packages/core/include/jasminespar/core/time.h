/// @file
/// Types for time that is passed as an argument. Nothing here reads a clock.

#ifndef JASMINESPAR_CORE_TIME_H_
#define JASMINESPAR_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace jasminespar {

/// Length of time; microseconds.
using Duration = std::chrono::microseconds;

/// Clock type without `now()`, so that decision code cannot read the time.
struct ProcessClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<ProcessClock>;
  static constexpr bool is_steady = true;
};

/// Monotonic time, comparable only within one process.
using TimePoint = ProcessClock::time_point;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

/// @return whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t ToMilliseconds(
    Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_TIME_H_
