// The monotonic time of a machine that was suspended for a while: only
// CLOCK_BOOTTIME counts that time.
#include <sys/syscall.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <ctime>

#include "jasminespar/runtime/clock.h"

namespace {

std::time_t suspended_seconds = 0;

}  // namespace

/// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (clock == CLOCK_BOOTTIME) now->tv_sec += suspended_seconds;
  return result;
}

namespace jasminespar::runtime {
namespace {

TEST_CASE("a permission also runs out while the machine is suspended") {
  const TimePoint before = SteadyNow();
  suspended_seconds = 7;
  const TimePoint after = SteadyNow();
  suspended_seconds = 0;
  CHECK(after - before >= 7s);
}

}  // namespace
}  // namespace jasminespar::runtime
