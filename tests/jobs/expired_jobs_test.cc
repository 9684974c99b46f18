// Ended jobs whose retention is over, while the table still has their rows.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};

JobLoaded OneTask() {
  return {DispatcherFixture::Job(kJob.value, "batch",
                                 {DispatcherFixture::Step(1, 2)}),
          {}};
}

/// Runs a job to its end. Its row is not deleted unless the test does so.
void CompleteJob(DispatcherFixture& fixture) {
  fixture.delete_rows = false;
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(OneTask());
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const auto start = std::get<StartRun>(fixture.starts.front().what);
  fixture.AcceptStarts();
  fixture.End("w1", start.task, start.run, RunEnding::kDone);
  fixture.Advance(3s);
  REQUIRE(fixture.statuses.back().phase == JobPhase::kCompleted);
}

// review/8: the store lost its history while completed jobs were being
// forgotten; they were read again without their progress and ran again (TWICE).
TEST_CASE("a completed job that is read again while its row exists stays so") {
  const Duration after_retention = GENERATE(0s, 1s, 14s, 20s, 300s);
  DispatcherFixture fixture;
  CompleteJob(fixture);
  fixture.now.steady += fixture.settings.status_retention;
  fixture.Advance(200ms);
  CHECK_FALSE(fixture.expired.empty());
  fixture.tick = 500ms;
  fixture.Advance(after_retention);
  for (int read = 0; read < 3; ++read) {
    fixture.Feed(OneTask());
    fixture.Feed(JobRowsListed{{kJob}});
    fixture.Advance(1s);
  }
  CHECK(fixture.starts.empty());
  CHECK(fixture.forgotten.empty());
  fixture.Feed(JobRowDeleted{kJob});
  fixture.Advance(1s);
  REQUIRE(fixture.forgotten.size() == 1);
  CHECK(fixture.forgotten.front().progress_rows.size() == 1);
}

TEST_CASE("a deletion that fails or gets lost is requested again") {
  DispatcherFixture fixture;
  CompleteJob(fixture);
  fixture.now.steady += fixture.settings.status_retention;
  fixture.Advance(10s);
  CHECK(fixture.expired.size() == 1);
  fixture.tick = 500ms;
  fixture.Advance(60s);
  CHECK(fixture.expired.size() >= 3);
  CHECK(fixture.expired.size() <= 6);
}

TEST_CASE("a job whose row is gone is forgotten, also if no change told so") {
  const bool by_change = GENERATE(true, false);
  const bool during_retention = GENERATE(true, false);
  DispatcherFixture fixture;
  CompleteJob(fixture);
  const auto delete_row = [&] {
    if (by_change) {
      fixture.Feed(JobRowDeleted{kJob});
    } else {
      fixture.Feed(JobRowsListed{});
    }
    fixture.Advance(200ms);
  };
  if (during_retention) delete_row();
  CHECK(fixture.forgotten.empty());
  fixture.now.steady += fixture.settings.status_retention;
  fixture.Advance(200ms);
  if (!during_retention) delete_row();
  CHECK(fixture.forgotten.size() == 1);
}

TEST_CASE("a job that is still cancelled in the table does not start") {
  DispatcherFixture fixture;
  fixture.delete_rows = false;
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  fixture.Feed(JobCancelled{kJob});
  fixture.now.steady += fixture.settings.status_retention;
  fixture.Advance(1s);
  CHECK(fixture.expired.size() == 1);
  SECTION("it comes while the cancellation exists") {
    fixture.Feed(OneTask());
    fixture.Advance(1s);
    CHECK(fixture.starts.empty());
  }
  SECTION("the cancellation is forgotten once it is deleted") {
    fixture.Feed(CancellationRowDeleted{kJob});
    fixture.Advance(1s);
    CHECK(fixture.forgotten.size() == 1);
  }
}

}  // namespace
}  // namespace jasminespar::jobs
