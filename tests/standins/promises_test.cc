#include "jasminespar/standins/promises.h"

#include <catch2/catch.hpp>

namespace jasminespar::standins {
namespace {

using cell::TaskState;

struct Fixture {
  Fixture() {
    record.id = {0, 1};
    record.outcome = CallerOutcome::kAnswered;
    record.sends = 1;
  }

  void AddRun(std::uint64_t attempt, std::uint32_t rank, TaskState state,
              std::int64_t ended_ms = 100) {
    ObservedRun run;
    run.call = record.id;
    run.attempt = attempt;
    run.rank = rank;
    run.gang_workers = gang_workers;
    run.ended_ms = ended_ms;
    run.state = state;
    runs.push_back(run);
  }

  /// @return whether there is one breach, and of that promise.
  bool Breaches(Promise promise) const {
    const auto breaches = CheckPromises({record}, runs, 1s);
    return breaches.size() == 1 && breaches[0].promise == promise;
  }

  CallRecord record;
  std::vector<ObservedRun> runs;
  std::uint32_t gang_workers = 1;
};

TEST_CASE("an answered call that ran breaches no promise") {
  Fixture f;
  f.AddRun(1, 0, TaskState::kStopped);
  f.AddRun(2, 0, TaskState::kSucceeded);
  CHECK(CheckPromises({f.record}, f.runs, 1s).empty());
  CHECK(FormatVerdicts({}).find("BREACHED") == std::string::npos);
}

TEST_CASE("complete gangs in two cells are told apart") {
  Fixture f;
  // Seen in a soak: three tasks in the home cell and two in a local cell, both
  // of attempt 1.
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    f.gang_workers = 3;
    f.AddRun(1, rank, TaskState::kSucceeded);
    f.runs.back().cell.value = "dc-a/0";
  }
  for (std::uint32_t rank = 0; rank < 2; ++rank) {
    f.gang_workers = 2;
    f.AddRun(1, rank, TaskState::kSucceeded);
    f.runs.back().cell.value = "dc-b/0";
  }
  CHECK(CheckPromises({f.record}, f.runs, 1s).empty());
}

TEST_CASE("tasks in two cells do not count as one complete gang") {
  Fixture f;
  f.gang_workers = 2;
  f.AddRun(1, 0, TaskState::kSucceeded);
  f.runs.back().cell.value = "dc-a/0";
  f.AddRun(1, 1, TaskState::kSucceeded);
  f.runs.back().cell.value = "dc-b/0";
  CHECK(f.Breaches(Promise::kAnswerRan));
}

TEST_CASE("a second start of a non-idempotent call is a breach") {
  Fixture f;
  f.record.plan.idempotence = Idempotence::kNonIdempotent;
  f.AddRun(1, 0, TaskState::kStopped);
  f.AddRun(2, 0, TaskState::kSucceeded);
  CHECK(f.Breaches(Promise::kAtMostOnce));
}

TEST_CASE("a start despite not_run is a breach unless a send is unanswered") {
  Fixture f;
  f.record.outcome = CallerOutcome::kRefused;
  f.record.not_run = 1;
  f.AddRun(1, 0, TaskState::kSucceeded);
  CHECK(f.Breaches(Promise::kNotRunTrue));
  f.record.sends = 2;
  f.record.unanswered = 1;
  CHECK(CheckPromises({f.record}, f.runs, 1s).empty());
}

TEST_CASE("an answer without a complete gang is a breach") {
  Fixture f;
  f.gang_workers = 2;
  f.AddRun(1, 0, TaskState::kSucceeded);
  CHECK(f.Breaches(Promise::kAnswerRan));
}

TEST_CASE("a part of a gang may run alone only up to the limit") {
  Fixture f;
  f.record.outcome = CallerOutcome::kRefused;
  f.gang_workers = 2;
  f.AddRun(1, 1, TaskState::kStopped, 1000);
  CHECK(CheckPromises({f.record}, f.runs, 1s).empty());
  f.AddRun(2, 1, TaskState::kStopped, 1001);
  CHECK(f.Breaches(Promise::kWholeGang));
}

TEST_CASE("a missing outcome and a wrong answer are breaches") {
  Fixture f;
  f.record.outcome = CallerOutcome::kNone;
  CHECK(f.Breaches(Promise::kOneOutcome));
  f.record.outcome = CallerOutcome::kWrongAnswer;
  CHECK(f.Breaches(Promise::kOwnWholeAnswer));
}

TEST_CASE("a refusal that contradicts the accepted note is a breach") {
  Fixture f;
  f.record.outcome = CallerOutcome::kRefused;
  f.record.reason = "unknown_service";
  CHECK(f.Breaches(Promise::kNoteInForce));
}

TEST_CASE("the same seed gives the same calls, in order of arrival") {
  const MixSettings settings;
  const auto first = PlanMix(settings);
  const auto second = PlanMix(settings);
  REQUIRE(first.size() == settings.calls);
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].body == second[i].body);
    if (i > 0) CHECK(first[i - 1].arrival <= first[i].arrival);
  }
}

}  // namespace
}  // namespace jasminespar::standins
