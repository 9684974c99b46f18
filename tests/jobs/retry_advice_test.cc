// Callers during an outage of the table: how many are served in the end, and
// when they return.
#include "jasminespar/jobs/retry_advice.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace jasminespar::jobs {
namespace {

constexpr TimePoint kNow{1h};
constexpr int kRetries = 4;

/// An outage that callers meet all along, each with its own job.
struct Outage {
  Duration length;
  int callers = 200;
  int served = 0;
  std::map<Duration, int> returns;  ///< Callers by the time of their success.

  explicit Outage(Duration length) : length(length) {
    RetryAdvice advice;
    advice.HandleReachable(false, kNow);
    for (int i = 0; i < callers; ++i) {
      const JobId job{"job" + std::to_string(i)};
      Duration at = length * i / callers;
      for (int attempt = 0; attempt <= kRetries && at < length; ++attempt) {
        at += advice.WaitOf(job, kNow + at);
      }
      if (at < length) continue;
      ++served;
      ++returns[at];
    }
  }
};

TEST_CASE(
    "callers of an outage of eight seconds have retries left at its end") {
  CHECK(Outage(8s).served == Outage(8s).callers);
}

TEST_CASE("no caller waits much longer than the outage has lasted") {
  RetryAdvice advice;
  const JobId job{"a"};
  CHECK(advice.WaitOf(job, kNow) == RetryAdvice::kMinWait);
  advice.HandleReachable(false, kNow);
  for (Duration lasted{}; lasted < 20s; lasted += 100ms) {
    const Duration wait = advice.WaitOf(job, kNow + lasted);
    CHECK(wait <= std::max<Duration>(1s, lasted + 1s));
    CHECK(wait <= RetryAdvice::kMaxWait);
  }
  advice.HandleReachable(true, kNow + 20s);
  CHECK(advice.WaitOf(job, kNow + 20s) == RetryAdvice::kMinWait);
}

TEST_CASE("callers refused at one time return spread over a second") {
  RetryAdvice advice;
  advice.HandleReachable(false, kNow);
  std::map<RetryAdvice::Seconds, int> waits;
  for (int i = 0; i < 200; ++i) {
    ++waits[advice.WaitOf(JobId{"job" + std::to_string(i)}, kNow + 2s)];
  }
  REQUIRE(waits.size() == 2);
  for (const auto& [wait, callers] : waits) CHECK(callers > 60);
}

}  // namespace
}  // namespace jasminespar::jobs
