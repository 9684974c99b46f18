// Limits of one commit: the table refuses a larger transaction.
#include <catch2/catch.hpp>
#include <string>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

/// Names that sort in the order of their numbers.
std::string Numbered(const char* prefix, int number) {
  return prefix + std::to_string(1000 + number);
}

TEST_CASE("a commit has no more rows than a transaction may have") {
  // Seen on a large deployment: 46 workers left while many jobs ended. The
  // table refused the oversized commit, and the owner resent it for 4 s.
  constexpr int kWorkers = 250;
  constexpr int kJobs = 120;
  DispatcherFixture fixture;
  for (int i = 0; i < kWorkers; ++i) {
    fixture.AddWorker(Numbered("w", i), "r1", Enrolment::kPending);
  }
  fixture.FinishLoading();
  fixture.Advance(2s);
  CHECK(fixture.enrolled.size() == kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    WorkerEntry leaving;
    leaving.name.value = Numbered("w", i);
    leaving.leaving = true;
    fixture.Feed(WorkerListed{leaving});
    fixture.unresponsive[leaving.name.value] = true;
  }
  for (int i = 0; i < kJobs; ++i) {
    fixture.Feed(
        JobLoaded{DispatcherFixture::Job(Numbered("job", i), "batch",
                                         {DispatcherFixture::Step(1, 1)}),
                  {}});
    fixture.Feed(JobCancelled{{Numbered("job", i)}});
  }
  for (int i = 0; i < kWorkers; ++i) {
    fixture.Feed(WorkerUnlisted{{Numbered("w", i)}});
  }
  fixture.Advance(3s);
  CHECK(fixture.departed.size() == kWorkers);
  CHECK(fixture.progress.size() == kJobs);
  CHECK(fixture.largest_commit <= kMaxCommitRows);
}

TEST_CASE("progress of jobs with many tasks is split over several commits") {
  constexpr int kJobs = 40;
  constexpr std::uint32_t kTasks = 600;
  DispatcherFixture fixture;
  fixture.FinishLoading();
  for (int i = 0; i < kJobs; ++i) {
    JobLoaded found{
        DispatcherFixture::Job(Numbered("job", i), "batch",
                               {DispatcherFixture::Step(kTasks, 1)}),
        {}};
    for (std::uint32_t task = 0; task < kTasks; ++task) {
      found.progress.tasks.push_back({0, 0, task, true, {}, ""});
    }
    found.progress.tasks.back().done = false;
    found.progress.tasks.back().checkpoint = "saved";
    fixture.Feed(std::move(found));
    fixture.Feed(JobCancelled{{Numbered("job", i)}});
  }
  fixture.Advance(3s);
  CHECK(fixture.progress.size() == kJobs);
  CHECK(fixture.most_tasks_in_commit <= kMaxCommitTasks);
}

}  // namespace
}  // namespace jasminespar::jobs
