#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "cell_model/simulation.h"

namespace jasminespar::cell_model {
namespace {

std::uint64_t EnvironmentOr(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::stoull(text);
}

void Print(std::uint64_t seed, const EventCounts& counts) {
  std::cout << "seed " << seed << ": calls " << counts.calls << ", starts "
            << counts.starts << ", answers " << counts.answers << ", not_run "
            << counts.not_run << ", may_have_run " << counts.may_have_run
            << ", ran " << counts.ran << ", retries " << counts.retries
            << ", stale " << counts.stale_messages << ", owners "
            << counts.owners << ", two at once "
            << counts.takeovers_from_live_owner << ", fenced " << counts.fenced
            << ", restarts " << counts.restarts << "\n";
}

/// @return whether the simulation of some seed detects the mutation.
bool DetectsMutation(SimulationSettings settings) {
  for (settings.seed = 1; settings.seed <= 20; ++settings.seed) {
    try {
      Simulation(settings).Run();
    } catch (const std::logic_error& error) {
      std::cout << "detected with seed " << settings.seed << ": "
                << error.what() << "\n";
      return true;
    }
  }
  return false;
}

TEST_CASE("random owners, workers and clients keep every guarantee") {
  SimulationSettings settings;
  const std::uint64_t first = EnvironmentOr("JASMINESPAR_MODEL_SEED", 1);
  const std::uint64_t runs = EnvironmentOr("JASMINESPAR_MODEL_RUNS", 40);
  settings.steps = EnvironmentOr("JASMINESPAR_MODEL_STEPS", 50'000);
  for (std::uint64_t i = 0; i < runs; ++i) {
    settings.seed = first + i;
    INFO("seed " << settings.seed);
    const EventCounts counts = Simulation(settings).Run();
    Print(settings.seed, counts);
    CHECK(counts.answers > 0);
    CHECK(counts.not_run > 0);
    CHECK(counts.may_have_run > 0);
    CHECK(counts.takeovers_from_live_owner > 0);
  }
}

TEST_CASE("sending an order before its record is durable is detected") {
  SimulationSettings settings;
  settings.mutation = cell::Mutation::kOrderBeforeDurable;
  CHECK(DetectsMutation(settings));
}

TEST_CASE(
    "running a non-idempotent call again after an unknown outcome is "
    "detected") {
  SimulationSettings settings;
  settings.mutation = cell::Mutation::kRetryUnknownNonIdempotent;
  CHECK(DetectsMutation(settings));
}

TEST_CASE("releasing a gang before all its tasks are held is detected") {
  SimulationSettings settings;
  settings.mutation = cell::Mutation::kReleaseBeforeAllHeld;
  CHECK(DetectsMutation(settings));
}

TEST_CASE("a worker that accepts a replaced owner is detected") {
  SimulationSettings settings;
  settings.worker_mutation = WorkerMutation::kSkipEpochCheck;
  CHECK(DetectsMutation(settings));
}

}  // namespace
}  // namespace jasminespar::cell_model
