/// @file
/// Randomised runs with fixed seeds. JASMINESPAR_RANDOM_DECISIONS sets the
/// number of decisions of each run and JASMINESPAR_RANDOM_SEED the first seed.
/// Long run: `JASMINESPAR_RANDOM_DECISIONS=80000 test_scheduling "[random]"`.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "jasminespar/scheduling/invariant.h"
#include "scheduling/random_cell.h"

namespace jasminespar::scheduling {
namespace {

constexpr std::uint64_t kShortRunDecisions = 10'000;
constexpr std::uint64_t kDecisionsBetweenGuaranteeChecks = 500;
constexpr std::uint64_t kSeeds = 2;

constexpr RandomCellShape kShapes[] = {
    {1, 8, 1},  {1, 8, 8},  {3, 8, 4},  {16, 8, 8},
    {18, 6, 8}, {20, 6, 8}, {50, 8, 8}, {125, 8, 8},
};

std::uint64_t EnvironmentOr(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

TEST_CASE("random arrivals, failures and changes keep every invariant",
          "[random]") {
  const std::uint64_t decisions =
      EnvironmentOr("JASMINESPAR_RANDOM_DECISIONS", kShortRunDecisions);
  const std::uint64_t first = EnvironmentOr("JASMINESPAR_RANDOM_SEED", 1);
  std::uint64_t total = 0;
  std::uint64_t reclaims = 0;
  std::uint64_t starts = 0;
  std::uint64_t shapes_met = 0;
  for (std::uint64_t seed = first; seed < first + kSeeds; ++seed) {
    for (const RandomCellShape& shape : kShapes) {
      INFO("seed " << seed << ", workers " << shape.workers);
      RandomCell cell(shape, FullyValidated(), seed);
      while (cell.decisions() < decisions) {
        cell.Step();
        if (cell.decisions() % kDecisionsBetweenGuaranteeChecks == 0) {
          cell.RequestAllGuarantees();
        }
      }
      total += cell.decisions();
      reclaims += cell.reclaims();
      starts += cell.starts();
      shapes_met += cell.shapes_met();
    }
  }
  CHECK(starts > 0);
  CHECK(reclaims > 0);
  CHECK(shapes_met > 0);
  WARN("decisions " << total << ", starts " << starts << ", reclaims "
                    << reclaims << ", guaranteed shapes met " << shapes_met);
}

TEST_CASE("mutation: random runs detect a missing feasibility check",
          "[random]") {
  PolicySettings settings = FullyValidated();
  settings.mutation = Mutation::kSkipFeasibilityCheck;
  RandomCell cell({16, 8, 8}, settings, 1);
  CHECK_THROWS_AS(
      [&] {
        while (cell.decisions() < kShortRunDecisions) cell.Step();
      }(),
      InvariantViolation);
}

TEST_CASE("every policy keeps every invariant", "[random]") {
  for (const auto& queue : kQueuePolicyNames) {
    for (const auto& placement : kPlacementPolicyNames) {
      PolicySettings settings = FullyValidated();
      settings.queue = MakeQueuePolicy(queue.value);
      settings.placement = MakePlacementPolicy(placement.value);
      RandomCell cell({18, 6, 8}, settings, 7);
      INFO(queue.name << " " << placement.name);
      CHECK_NOTHROW([&] {
        while (cell.decisions() < kShortRunDecisions / 4) cell.Step();
      }());
    }
  }
}

}  // namespace
}  // namespace jasminespar::scheduling
