/// @file
/// Time as an argument. No function here reads a clock.

#ifndef JASMINESPAR_CORE_TIME_H_
#define JASMINESPAR_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace jasminespar {

/// Span of time; microseconds.
using Duration = std::chrono::microseconds;

/// Clock type without a `now`, so that deciding code cannot read the time.
struct ProcessClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<ProcessClock>;
  static constexpr bool is_steady = true;
};

/// Monotonic instant, comparable only within one process.
using TimePoint = ProcessClock::time_point;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

/// @return whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t ToMilliseconds(Duration span) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_TIME_H_
