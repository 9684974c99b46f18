/// @file
/// State that the owner of a cell keeps per job. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_JOB_TABLE_H_
#define JASMINESPAR_JOBS_SRC_JOB_TABLE_H_

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
};

/// One step of one occurrence.
struct StepState {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<TaskState> tasks;
  std::uint32_t done = 0;
  std::uint32_t active = 0;
  /// Worker reserved by a reclaim for each waiting task; empty: no plan.
  std::vector<WorkerName> plan;
  TimePoint planned_at;
  TimePoint next_reclaim;

  [[nodiscard]] bool finished() const noexcept { return done == tasks.size(); }
  [[nodiscard]] bool waiting() const noexcept {
    return done + active < tasks.size();
  }
};

struct JobState {
  AcceptedJob job;
  QueueConfiguration queue;  ///< Its latest configuration.
  std::shared_ptr<const std::string> payload;
  JobPhase phase = JobPhase::kQueued;
  /// Whether an earlier owner may have started tasks that are in no report yet.
  bool may_have_unlisted_runs = false;
  std::vector<StepState> steps;  ///< Ordered by occurrence, then by step.
  TimePoint loaded_at;
  TimePoint final_at;
  Duration age_when_loaded{};
  bool dirty = false;         ///< Progress must be written.
  bool status_dirty = false;  ///< Status must be written.

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
[[nodiscard]] JobState MakeJobState(JobLoaded found,
                                    const QueueConfiguration& queue,
                                    const Now& now);

/// @return the task of that name, or null.
[[nodiscard]] TaskState* FindTask(JobState& job, const TaskName& name);

/// @return the progress to store for a job.
[[nodiscard]] JobProgress ProgressOf(const JobState& job);

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
