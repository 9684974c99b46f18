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
    JobProgress& recorded = found.progress.emplace_back();
    for (std::uint32_t task = 0; task < kTasks; ++task) {
      recorded.tasks.push_back({0, 0, task, true, {}, ""});
    }
    recorded.tasks.back().done = false;
    recorded.tasks.back().checkpoint = "saved";
    fixture.Feed(std::move(found));
    fixture.Feed(JobCancelled{{Numbered("job", i)}});
  }
  fixture.Advance(3s);
  CHECK(fixture.progress.size() == kJobs);
  CHECK(fixture.most_tasks_in_commit <= kMaxCommitTasks);
}

/// Ends runs of every task of a job as failed, so that each has progress.
void FailAllTasks(DispatcherFixture& fixture, const std::string& job,
                  std::uint32_t tasks) {
  for (std::uint32_t i = 0; i < tasks; ++i) {
    fixture.End("w1", {{job}, 0, 0, i}, {11 + i}, RunEnding::kFailed);
  }
}

JobLoaded WideJob(const std::string& job, std::uint32_t tasks) {
  return {
      DispatcherFixture::Job(job, "batch", {DispatcherFixture::Step(tasks, 9)}),
      {}};
}

/// @return what the next owner reads of the job.
JobLoaded Reloaded(const DispatcherFixture& fixture, JobLoaded job) {
  for (const auto& [name, row] : fixture.progress_rows) {
    if (row.job == job.job.id) job.progress.push_back(row);
  }
  return job;
}

TEST_CASE("progress that outgrows a row does not stop the work of others") {
  // review/4: the table refused the row, and every owner stepped down.
  const std::uint32_t tasks = GENERATE(2'400U, 20'000U, 100'000U);
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  FailAllTasks(fixture, "wide", tasks);
  fixture.Feed(WideJob("wide", tasks));
  fixture.FinishLoading();
  fixture.Advance(25s);
  CHECK(fixture.largest_row <= fixture.settings.max_row_bytes);
  CHECK(fixture.acknowledged == tasks);
  SECTION("a later job of others is committed") {
    fixture.Feed(WideJob("other", 1));
    fixture.Feed(JobCancelled{{"other"}});
    fixture.Advance(200ms);
    CHECK(fixture.progress.contains(JobId{"other"}));
  }
  SECTION("the next owner has every failed run") {
    DispatcherFixture next(3);
    next.AddWorker("w1");
    next.Feed(Reloaded(fixture, WideJob("wide", tasks)));
    next.FinishLoading();
    // The second failure of the last task is the last attempt.
    next.End("w1", {{"wide"}, 0, 0, tasks - 1}, {11 + tasks - 1},
             RunEnding::kFailed);
    next.Advance(3s);
    CHECK_FALSE(next.progress.contains(JobId{"wide"}));
    next.End("w1", {{"wide"}, 0, 0, tasks - 1}, {11 + tasks},
             RunEnding::kFailed);
    next.Advance(3s);
    CHECK(next.progress.at(JobId{"wide"}).phase == JobPhase::kFailed);
  }
  SECTION("all rows of a job that is forgotten are deleted") {
    fixture.Feed(JobCancelled{{"wide"}});
    fixture.Advance(1s);
    fixture.now.steady += fixture.settings.status_retention;
    fixture.Advance(200ms);
    REQUIRE(fixture.forgotten.size() == 1);
    CHECK(fixture.forgotten[0].progress_rows.size() ==
          fixture.progress_rows.size());
  }
}

TEST_CASE("a split range supersedes the row that it was split from") {
  constexpr std::uint32_t kTasks = 8;
  JobLoaded job = WideJob("wide", kTasks);
  JobProgress old;
  old.job.value = "wide";
  old.tasks.push_back({0, 0, 6, false, {}, "old"});
  JobProgress upper;
  upper.job.value = "wide";
  upper.first_task = 4;
  upper.tasks.push_back({0, 0, 6, true, {}, ""});
  const bool upper_first = GENERATE(false, true);
  job.progress = {old, upper};
  if (upper_first) std::swap(job.progress[0], job.progress[1]);
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.Feed(std::move(job));
  fixture.FinishLoading();
  fixture.Feed(JobCancelled{{"wide"}});
  fixture.End("w1", {{"wide"}, 0, 0, 7}, {12}, RunEnding::kDone);
  fixture.Advance(200ms);
  const JobProgress& row = fixture.progress_rows.at({{"wide"}, 4});
  REQUIRE(row.tasks.size() == 2);
  CHECK(row.tasks[0].done);
  CHECK(fixture.progress.at(JobId{"wide"}).tasks.empty());
}

TEST_CASE("an owner finds out what the table accepts") {
  // Its limits may be lower than the settings say.
  constexpr std::uint32_t kTasks = 3'000;
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  FailAllTasks(fixture, "wide", kTasks);
  fixture.Feed(WideJob("wide", kTasks));
  fixture.FinishLoading();
  SECTION("it commits less at a time") {
    fixture.table_limit = 5'000;
    for (int i = 0; i < 200; ++i) {
      fixture.Advance(50ms);
      std::size_t durable = 0;
      for (const auto& [name, row] : fixture.progress_rows) {
        durable += row.tasks.size();
      }
      // No end is acknowledged before it is durable.
      REQUIRE(fixture.acknowledged <= durable);
    }
    CHECK_FALSE(fixture.resigned);
    CHECK(fixture.acknowledged == kTasks);
    fixture.Feed(JobCancelled{{"wide"}});
    fixture.Advance(1s);
    CHECK(fixture.statuses.back().phase == JobPhase::kCancelled);
  }
  SECTION("it resigns if the table accepts nothing") {
    fixture.table_limit = 10;
    fixture.Advance(1s);
    CHECK(fixture.resigned);
  }
}

TEST_CASE("a checkpoint that does not fit into a row is left out") {
  DispatcherFixture fixture(2);
  fixture.AddWorker("w1");
  fixture.reports["w1"].ends.push_back(
      {1,
       {{"wide"}, 0, 0, 0},
       {11},
       RunEnding::kStopped,
       std::string(2 * fixture.settings.max_row_bytes, 'c')});
  fixture.Feed(WideJob("wide", 3));
  fixture.FinishLoading();
  fixture.Advance(500ms);
  CHECK(fixture.acknowledged == 1);
  CHECK(fixture.largest_row <= fixture.settings.max_row_bytes);
}

}  // namespace
}  // namespace jasminespar::jobs
