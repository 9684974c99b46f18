/// @file
/// State that the owner of a cell keeps per job. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_JOB_TABLE_H_
#define JASMINESPAR_JOBS_SRC_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/jobs/messages.h"

namespace jasminespar::jobs {

enum class TaskPhase : std::uint8_t { kWaiting, kActive, kDone };

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  RunNumber run;      ///< The current run, while active.
  WorkerName worker;  ///< Worker of the current run.
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;
  WorkerName failed_on;  ///< Worker of the last failure; empty: none.
  TimePoint waiting_since;
  std::uint32_t stalls = 0;  ///< Runs of it that were stopped as stalled.
};

/// One step of one occurrence.
struct StepState {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t first_task = 0;  ///< Position of its first task in the job.
  std::vector<TaskState> tasks;
  std::uint32_t done = 0;
  std::uint32_t active = 0;
  TimePoint next_reclaim;
  /// When the last start of one of its tasks was confirmed.
  TimePoint last_confirmed_at;

  [[nodiscard]] bool finished() const noexcept { return done == tasks.size(); }
  [[nodiscard]] bool waiting() const noexcept {
    return done + active < tasks.size();
  }
};

/// Tasks of a job whose progress is one row of the table, up to the next range.
struct ProgressRange {
  std::uint32_t first_task = 0;
  bool dirty = false;  ///< It must be written.
};

struct JobState {
  AcceptedJob job;
  QueueConfiguration queue;  ///< Its latest known configuration.
  Revision queue_revision;   ///< Version that `queue` is of.
  std::shared_ptr<const std::string> payload;
  JobPhase phase = JobPhase::kQueued;
  /// Whether an earlier owner may have started tasks that are in no report yet.
  bool may_have_unlisted_runs = false;
  std::vector<StepState> steps;  ///< Ordered by occurrence, then by step.
  TimePoint set_aside_until;     ///< A decision about it has failed.
  TimePoint loaded_at;
  TimePoint final_at;
  Duration age_when_loaded{};
  /// By first task; the first one begins with the first task. A range that no
  /// longer fits into a row is split.
  std::vector<ProgressRange> ranges;
  bool dirty = false;         ///< A range or the status must be written.
  bool status_dirty = false;  ///< Status must be written.
  bool row_deleted = false;   ///< The table no longer has its row.
  /// When the deletion of its row was last requested.
  std::optional<TimePoint> deletion_requested_at;

  [[nodiscard]] const StepSpec& SpecOf(const StepState& step) const {
    return job.spec.steps[step.step];
  }
  [[nodiscard]] StepState& StepAt(std::uint32_t occurrence,
                                  std::uint32_t step) {
    return steps[occurrence * job.spec.steps.size() + step];
  }
  [[nodiscard]] bool live() const noexcept { return !IsFinal(phase); }
  [[nodiscard]] Duration AgeAt(TimePoint now) const {
    return age_when_loaded + (now - loaded_at);
  }
};

/// @return the state of a job, with its recorded progress restored.
[[nodiscard]] JobState MakeJobState(JobLoaded found, const Now& now);

/// @return the task of that name, or null.
[[nodiscard]] TaskState* FindTask(JobState& job, const TaskName& name);

/// @return the progress to store for a range of a job, by its index.
[[nodiscard]] JobProgress ProgressOf(const JobState& job, std::size_t range);

/// @param position of a task in the job.
/// @return the range that the task is in.
[[nodiscard]] ProgressRange& RangeAt(JobState& job, std::uint32_t position);

/// Splits a range into two halves; both have to be written.
/// @return whether it had more than one task and was split.
bool SplitRange(JobState& job, std::size_t range);

[[nodiscard]] JobStatus StatusOf(const JobState& job);

/// @return whether all steps that this one depends on are done.
[[nodiscard]] bool DependenciesDone(JobState& job, const StepState& step);

/// @return when the occurrence of the step is due; zero if it has no schedule.
[[nodiscard]] WallTime DueOf(const JobState& job, const StepState& step);

/// @return the critical path: the largest sum of estimates along dependencies.
[[nodiscard]] Duration LongestChain(const JobSpec& spec);

/// @return the time from acceptance within which the job must complete to earn
///     in full.
[[nodiscard]] Duration ObjectiveOf(const JobState& job);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_JOB_TABLE_H_
