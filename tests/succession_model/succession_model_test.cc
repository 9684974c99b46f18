// Guards against work that runs twice, or never, after any succession of owners
// (review/1, 11, 12): owners are cut off with the workers of their zone,
// killed, restarted and released while the table is slow and loses answers.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "model.h"

namespace jasminespar::jobs {
namespace {

constexpr std::uint64_t kSeeds = 60;

/// @return the setting of a run that is started by hand, or the default.
std::uint64_t NumberFrom(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

TEST_CASE("every job runs once after any succession of owners") {
  const std::uint64_t first = NumberFrom("SUCCESSION_SEED", 1);
  const std::uint64_t seeds = NumberFrom("SUCCESSION_SEEDS", kSeeds);
  std::size_t takeovers = 0;
  std::size_t starts = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    ModelSettings settings;
    settings.seed = seed;
    const char* traced = std::getenv("SUCCESSION_TRACE");
    if (traced != nullptr) settings.traced.value = traced;
    const ModelResult result = Model(settings).Run();
    takeovers += result.takeovers;
    starts += result.starts;
    CAPTURE(seed, result.jobs, result.completed);
    for (const std::string& violation : result.violations) {
      FAIL_CHECK(violation);
    }
  }
  CHECK(takeovers >= 2 * seeds);
  CHECK(starts >= 50 * seeds);
}

}  // namespace
}  // namespace jasminespar::jobs
