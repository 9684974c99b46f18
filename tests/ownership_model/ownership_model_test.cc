#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "model.h"

namespace jasminespar::membership {
namespace {

/// @return the number of runs; JASMINESPAR_MODEL_RUNS overrides the default.
std::uint64_t Runs() {
  constexpr std::uint64_t kDefaultRuns = 80;
  const char* text = std::getenv("JASMINESPAR_MODEL_RUNS");
  return text == nullptr ? kDefaultRuns : std::strtoull(text, nullptr, 10);
}

/// @return the first violation with seeds 1 to 50, or an empty text.
std::string FirstViolation(ModelSettings settings) {
  constexpr std::uint64_t kMaxRuns = 50;
  for (settings.seed = 1; settings.seed <= kMaxRuns; ++settings.seed) {
    const ModelResult result = Model(settings).Run();
    if (!result.violation.empty()) return result.violation;
  }
  return "";
}

TEST_CASE("Ownership keeps its invariants under faults and then settles") {
  ModelResult total;
  ModelSettings settings;
  for (settings.seed = 1; settings.seed <= Runs(); ++settings.seed) {
    const ModelResult result = Model(settings).Run();
    INFO(result.violation);
    REQUIRE(result.violation.empty());
    total.steps += result.steps;
    total.claims += result.claims;
    total.provisional += result.provisional;
    total.refused += result.refused;
  }
  WARN("runs " << Runs() << ", steps " << total.steps << ", claims "
               << total.claims << ", provisional " << total.provisional
               << ", refused " << total.refused);
  CHECK(total.provisional > 0);
  CHECK(total.refused > 0);
}

TEST_CASE("The median takeover from a killed owner takes less than 4.9 s") {
  std::vector<Duration> takeovers;
  ModelSettings settings;
  settings.only_kills = true;
  for (settings.seed = 1; settings.seed <= 40; ++settings.seed) {
    const ModelResult result = Model(settings).Run();
    INFO(result.violation);
    REQUIRE(result.violation.empty());
    takeovers.insert(takeovers.end(), result.takeovers.begin(),
                     result.takeovers.end());
  }
  std::sort(takeovers.begin(), takeovers.end());
  REQUIRE(takeovers.size() > 100);
  const Duration median = takeovers[takeovers.size() / 2];
  WARN("takeovers " << takeovers.size() << ", median " << ToMilliseconds(median)
                    << " ms, 95th percentile "
                    << ToMilliseconds(takeovers[takeovers.size() * 95 / 100])
                    << " ms, longest " << ToMilliseconds(takeovers.back())
                    << " ms");
  CHECK(median < 4900ms);
}

TEST_CASE("A store that skips the version condition is detected") {
  ModelSettings settings;
  settings.store_mutation = StoreMutation::kSkipVersionCondition;
  CHECK(FirstViolation(settings).find("two processes held") == 0);
}

TEST_CASE("A reused epoch is detected") {
  ModelSettings settings;
  settings.ownership_mutation = OwnershipMutation::kReuseEpoch;
  CHECK(FirstViolation(settings).find("the epoch of a row did not rise") == 0);
}

TEST_CASE("A blind retry of a claim without an answer is detected") {
  ModelSettings settings;
  settings.ownership_mutation = OwnershipMutation::kBlindRetry;
  CHECK(FirstViolation(settings).find("two processes held") == 0);
}

}  // namespace
}  // namespace jasminespar::membership
