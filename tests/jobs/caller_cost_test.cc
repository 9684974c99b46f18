// When a job has waited too long.
#include "jasminespar/jobs/caller_cost.h"

#include <catch2/catch.hpp>

namespace jasminespar::jobs {
namespace {

TEST_CASE("a job is overdue only well after the end of its value") {
  CHECK_FALSE(IsOverdue(kNoValueFactor * 2s, 2s));
  CHECK_FALSE(IsOverdue(2 * kNoValueFactor * 2s, 2s));
  CHECK(IsOverdue(2 * kNoValueFactor * 2s + 1ms, 2s));
}

}  // namespace
}  // namespace jasminespar::jobs
