#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "cell_model/model_world.h"

namespace jasminespar::cell_model {
namespace {

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoull(text);
}

void Print(std::uint64_t seed, const Tally& tally) {
  std::cout << "seed " << seed << ": calls " << tally.calls << ", starts "
            << tally.starts << ", answers " << tally.answers << ", not_run "
            << tally.not_run << ", may_have_run " << tally.may_have_run
            << ", ran " << tally.ran << ", retries " << tally.retries
            << ", stale " << tally.stale << ", owners " << tally.owners
            << ", two at once " << tally.takeovers_with_two << ", fenced "
            << tally.fenced << ", restarts " << tally.restarts << "\n";
}

/// @return whether some seed shows that the rule is missing.
bool IsCaught(WorldSettings settings) {
  for (settings.seed = 1; settings.seed <= 20; ++settings.seed) {
    try {
      ModelWorld(settings).Run();
    } catch (const std::logic_error& error) {
      std::cout << "caught with seed " << settings.seed << ": " << error.what()
                << "\n";
      return true;
    }
  }
  return false;
}

TEST_CASE("randomised owners, workers and clients keep every promise") {
  WorldSettings settings;
  const std::uint64_t first = FromEnvironment("JASMINESPAR_MODEL_SEED", 1);
  const std::uint64_t runs = FromEnvironment("JASMINESPAR_MODEL_RUNS", 40);
  settings.steps = FromEnvironment("JASMINESPAR_MODEL_STEPS", 50'000);
  for (std::uint64_t i = 0; i < runs; ++i) {
    settings.seed = first + i;
    INFO("seed " << settings.seed);
    const Tally tally = ModelWorld(settings).Run();
    Print(settings.seed, tally);
    CHECK(tally.answers > 0);
    CHECK(tally.not_run > 0);
    CHECK(tally.may_have_run > 0);
    CHECK(tally.takeovers_with_two > 0);
  }
}

TEST_CASE("ordering before the record is durable is caught") {
  WorldSettings settings;
  settings.mutation = cell::Mutation::kOrderBeforeDurable;
  CHECK(IsCaught(settings));
}

TEST_CASE("running a non-idempotent call again after doubt is caught") {
  WorldSettings settings;
  settings.mutation = cell::Mutation::kRetryUnknownNonIdempotent;
  CHECK(IsCaught(settings));
}

TEST_CASE("releasing a gang before all of it is held is caught") {
  WorldSettings settings;
  settings.mutation = cell::Mutation::kReleaseBeforeAllHeld;
  CHECK(IsCaught(settings));
}

TEST_CASE("a worker that obeys a replaced owner is caught") {
  WorldSettings settings;
  settings.worker_mutation = WorkerMutation::kSkipEpochCheck;
  CHECK(IsCaught(settings));
}

}  // namespace
}  // namespace jasminespar::cell_model
