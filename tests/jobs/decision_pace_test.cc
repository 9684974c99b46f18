// The share of the owner's time that its decisions take.
#include "jasminespar/jobs/decision_pace.h"

#include <catch2/catch.hpp>

namespace jasminespar::jobs {
namespace {

TEST_CASE("long decisions leave the owner most of its time for messages") {
  for (const Duration took : {1ms, 20ms, 90ms}) {
    DecisionPace pace;
    TimePoint now{1h};
    const TimePoint begun = now;
    Duration deciding{};
    while (now < begun + 10s) {
      pace.RecordDecision(now, now + took);
      deciding += took;
      now += took;
      now += pace.DelayAt(now);
    }
    CHECK(deciding <= (now - begun) / 4);
  }
}

TEST_CASE("a decision after a quiet time is made at once") {
  DecisionPace pace;
  const TimePoint now{1h};
  CHECK(pace.DelayAt(now) == Duration{});
  pace.RecordDecision(now, now + 1ms);
  CHECK(pace.DelayAt(now + 1ms) > Duration{});
  CHECK(pace.DelayAt(now + 10ms) == Duration{});
}

TEST_CASE("no decision delays the next one without bound") {
  DecisionPace pace;
  const TimePoint now{1h};
  pace.RecordDecision(now, now + 10s);
  CHECK(pace.DelayAt(now + 10s) <= DecisionPace::kMaxPause);
}

}  // namespace
}  // namespace jasminespar::jobs
