// Cancellations that arrive before the job that they cancel.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};

JobLoaded LateJob() {
  return {DispatcherFixture::Job(kJob.value, "batch",
                                 {DispatcherFixture::Step(1, 1)}),
          {}};
}

TEST_CASE("a job whose cancelling came first never starts") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Advance(1s);
  fixture.Feed(JobCancelled{kJob});
  fixture.Advance(30s);
  fixture.Feed(LateJob());
  fixture.Advance(1s);
  CHECK(fixture.starts.empty());
  REQUIRE_FALSE(fixture.statuses.empty());
  CHECK(fixture.statuses.back().phase == JobPhase::kCancelled);
}

TEST_CASE("a cancellation whose job never comes is deleted in the end") {
  DispatcherFixture fixture;
  fixture.tick = 1s;
  fixture.FinishLoading();
  fixture.Feed(JobCancelled{kJob});
  fixture.Advance(fixture.settings.status_retention - 2s);
  CHECK(fixture.forgotten.empty());
  fixture.Advance(5s);
  REQUIRE(fixture.forgotten.size() == 1);
  CHECK(fixture.forgotten.front().job == kJob);
  CHECK(fixture.forgotten.front().progress_rows.empty());
}

}  // namespace
}  // namespace jasminespar::jobs
