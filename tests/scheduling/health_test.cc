/// @file
/// Quarantine of workers and detection of poison jobs.

#include <catch2/catch.hpp>

#include "jasminespar/scheduling/scheduler.h"
#include "jasminespar/scheduling/worker_health.h"
#include "scheduling/fixtures.h"

namespace jasminespar::scheduling {
namespace {

TEST_CASE("a worker that fails distinct jobs is quarantined, then probed") {
  Scheduler scheduler(FullyValidated(), MakeTopology(1, 4, 8));
  for (std::uint64_t i = 1; i <= 3; ++i) {
    scheduler.RecordResult(CallId{1, i}, WorkerId{2}, TaskResult::kFailed,
                           At(0s));
  }
  CHECK(scheduler.Summary(At(0s)).free_accelerators == 24);
  CHECK(scheduler.NextDecision(At(0s)));
  static_cast<void>(scheduler.Decide(At(10s)));
  CHECK(scheduler.Summary(At(10s)).free_accelerators == 32);
  scheduler.RecordResult(CallId{1, 4}, WorkerId{2}, TaskResult::kFailed,
                         At(11s));
  CHECK(scheduler.Summary(At(11s)).free_accelerators == 24);
  static_cast<void>(scheduler.Decide(At(30s)));
  CHECK(scheduler.Summary(At(30s)).free_accelerators == 24);
  static_cast<void>(scheduler.Decide(At(31s)));
  CHECK(scheduler.Summary(At(31s)).free_accelerators == 32);
}

TEST_CASE("poison jobs are detected and do not cause quarantines") {
  Scheduler scheduler(FullyValidated(), MakeTopology(1, 4, 8));
  for (std::uint64_t job = 1; job <= 20; ++job) {
    for (std::uint64_t worker = 1; worker <= 3; ++worker) {
      scheduler.RecordResult(CallId{1, job}, WorkerId{worker},
                             TaskResult::kFailed, At(0s));
    }
    CHECK(scheduler.IsPoison(CallId{1, job}));
  }
  CHECK(scheduler.Summary(At(0s)).free_accelerators == 32);
}

TEST_CASE("repeated failures on one worker do not make a job poison") {
  WorkerHealth health(HealthSettings{});
  for (int i = 0; i < 5; ++i) {
    static_cast<void>(
        health.RecordFailure(CallId{1, 1}, WorkerId{1}, 8, At(0s)));
  }
  CHECK_FALSE(health.IsPoison(CallId{1, 1}));
}

}  // namespace
}  // namespace jasminespar::scheduling
