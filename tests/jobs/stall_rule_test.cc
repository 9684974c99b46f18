// The rule for stalls, beside the one that it replaced.
#include "jasminespar/jobs/stall_rule.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace jasminespar::jobs {
namespace {

const TimePoint kStart(1h);

/// @return a fresh run as its reports show it.
RunProgress Run(std::uint32_t percent, Duration progressed, Duration reported) {
  RunProgress run;
  run.percent = percent;
  run.rate_since = kStart;
  run.progressed_at = kStart + progressed;
  run.reported_at = kStart + reported;
  return run;
}

/// What the former rule allowed.
Duration FormerPatience(const RunProgress& run) {
  constexpr Duration kFormer = 5s;
  if (run.percent == 0) return kFormer;
  return std::max(kFormer, 3 * (run.progressed_at - kStart) / run.percent);
}

/// How a task fares under a rule; its stops take no time.
struct Outcome {
  Duration thrown_away{};
  int stops = 0;
  bool completed = false;
};

/// Plays a task at a constant rate whose worker reports twice a second, for at
/// most a hundred runs.
template <typename Patience>
Outcome Play(Duration run_time, const Patience& patience_after) {
  Outcome outcome;
  for (; outcome.stops < 100; ++outcome.stops) {
    // The longest time without progress is that of the first percent.
    const Duration percent = run_time / 100;
    const Duration patience = patience_after(outcome.stops);
    if (percent < patience) {
      outcome.completed = true;
      return outcome;
    }
    outcome.thrown_away += patience;
  }
  return outcome;
}

TEST_CASE("no task is stopped without end, and little is thrown away") {
  for (const Duration run_time : {Duration(1s), Duration(8s), Duration(10min),
                                  Duration(1h), Duration(20h), Duration(24h)}) {
    for (const double pace : {0.3, 0.55, 1.0, 1.5}) {
      for (const double estimate : {0.2, 0.5, 1.0, 5.0}) {
        const auto taken =
            std::chrono::duration_cast<Duration>(run_time / pace);
        RunGroup group;
        group.members = {Run(0, 0s, 0s)};
        group.estimate =
            std::chrono::duration_cast<Duration>(run_time * estimate);
        const Outcome now = Play(taken, [&](int stops) {
          group.stops = static_cast<std::uint32_t>(stops);
          return PatienceWith(group, 0);
        });
        const Outcome former =
            Play(taken, [&](int) { return FormerPatience(group.members[0]); });
        INFO("takes " << taken / 1s << " s, estimate " << group.estimate / 1s);
        CHECK(now.completed);
        CHECK(now.thrown_away * 20 <= taken);
        CHECK(now.stops <= 1);
        CHECK(former.completed == (taken < 500s));
        if (former.completed) CHECK(now.stops == 0);
      }
    }
  }
}

TEST_CASE("a stall is noticed in time, that of a short task as fast as ever") {
  for (const Duration run_time :
       {Duration(1s), Duration(2s), Duration(8s), Duration(50s),
        Duration(10min), Duration(2h), Duration(20h)}) {
    RunGroup group;
    group.estimate = run_time;
    // From the start on.
    group.members = {Run(0, 0s, 0s)};
    CHECK(PatienceWith(group, 0) <= std::max<Duration>(5s, run_time / 10));
    // In its midst.
    group.members = {Run(50, run_time / 2, run_time / 2)};
    const Duration later = PatienceWith(group, 0);
    CHECK(later <= std::max<Duration>(5s, run_time / 20));
    if (run_time <= 50s) {
      CHECK(later == FormerPatience(group.members[0]));
    }
  }
}

TEST_CASE("other runs of the step count before its estimate") {
  RunGroup group;
  group.members = {Run(0, 0s, 60s)};
  group.estimate = 2s;
  CHECK(FindStalled(group) == 0);
  group.fellows_run_time = 1h;
  CHECK_FALSE(FindStalled(group));
  group.estimate = 24h;
  group.members = {Run(0, 0s, 6min)};
  CHECK(FindStalled(group) == 0);
}

TEST_CASE("its own rate counts before all others") {
  RunGroup group;
  group.members = {Run(10, 10min, 12min)};
  group.estimate = 2s;
  group.fellows_run_time = 10s;
  CHECK_FALSE(FindStalled(group));
  group.members = {Run(10, 10min, 15min)};
  CHECK(FindStalled(group) == 0);
}

TEST_CASE("a member that waits for others has not stalled") {
  RunGroup gang;
  gang.estimate = 8s;
  gang.members = {Run(100, 8s, 30s), Run(57, 29s, 30s), Run(100, 9s, 30s)};
  CHECK_FALSE(FindStalled(gang));
  // Whatever percent it waits at.
  gang.members = {Run(99, 8s, 30s), Run(57, 29s, 30s), Run(80, 9s, 30s)};
  CHECK_FALSE(FindStalled(gang));
}

TEST_CASE("the member that is behind is blamed") {
  RunGroup gang;
  gang.estimate = 8s;
  gang.members = {Run(100, 8s, 30s), Run(45, 9s, 30s), Run(60, 9s, 30s)};
  CHECK(FindStalled(gang) == 1);
  // Of several, the one that has stood for longest.
  gang.members = {Run(0, 2s, 9s), Run(0, 1s, 9s), Run(90, 8s, 9s)};
  CHECK(FindStalled(gang) == 1);
  gang.members = {Run(100, 8s, 30s), Run(100, 7s, 30s)};
  CHECK(FindStalled(gang) == 1);
}

TEST_CASE("a worker that stands as a whole shortens its runs' patience") {
  RunGroup group;
  group.members = {Run(0, 0s, 40s)};
  group.estimate = 10min;
  CHECK_FALSE(FindStalled(group));
  group.members[0].worker_stands = true;
  CHECK(FindStalled(group) == 0);
  group.members = {Run(0, 0s, 4s)};
  group.members[0].worker_stands = true;
  group.estimate = 1s;
  CHECK_FALSE(FindStalled(group));
}

TEST_CASE("patience doubles with each stop and has an end") {
  RunGroup group;
  group.members = {Run(0, 0s, 0s)};
  group.estimate = 2s;
  Duration expected = kMinStallPatience;
  for (group.stops = 0; group.stops < 10; ++group.stops) {
    CHECK(PatienceWith(group, 0) == expected);
    expected *= 2;
  }
  group.estimate = 100'000h;
  group.stops = 1'000'000;
  CHECK(PatienceWith(group, 0) == 30 * 24h);
}

TEST_CASE("only a small share of a service's workers is suspected at a time") {
  CHECK(MaxStalledWorkers(1) == 1);
  CHECK(MaxStalledWorkers(12) == 2);
  CHECK(MaxStalledWorkers(48) == 8);
  CHECK(MaxStalledWorkers(3000) == 500);
}

}  // namespace
}  // namespace jasminespar::jobs
