#include "job_table.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {

namespace {

void RestoreProgress(JobState& state, const JobProgress& progress) {
  for (const TaskProgress& recorded : progress.tasks) {
    TaskState* task = FindTask(state, {state.job.id, recorded.occurrence,
                                       recorded.step, recorded.index});
    if (task == nullptr) continue;
    task->failed_runs = recorded.failed_runs;
    task->checkpoint = recorded.checkpoint;
    if (!recorded.done) continue;
    task->phase = TaskPhase::kDone;
    ++state.StepAt(recorded.occurrence, recorded.step).done;
  }
}

}  // namespace

JobState MakeJobState(JobLoaded found, const QueueConfiguration& queue,
                      const Now& now) {
  JobState state;
  state.job = std::move(found.job);
  state.queue = queue;
  state.payload = std::make_shared<const std::string>(state.job.spec.payload);
  state.phase = found.progress.phase;
  state.loaded_at = now.steady;
  state.final_at = now.steady;
  const std::uint64_t accepted = state.job.accepted_at.value;
  if (now.wall.value > accepted) {
    state.age_when_loaded =
        std::chrono::milliseconds(now.wall.value - accepted);
  }
  const std::uint32_t occurrences =
      std::max<std::uint32_t>(1, state.job.spec.occurrences);
  for (std::uint32_t k = 0; k < occurrences; ++k) {
    for (std::uint32_t s = 0; s < state.job.spec.steps.size(); ++s) {
      StepState step;
      step.occurrence = k;
      step.step = s;
      step.tasks.resize(state.job.spec.steps[s].count);
      for (TaskState& task : step.tasks) task.waiting_since = now.steady;
      state.steps.push_back(std::move(step));
    }
  }
  RestoreProgress(state, found.progress);
  return state;
}

TaskState* FindTask(JobState& job, const TaskName& name) {
  const std::size_t per_occurrence = job.job.spec.steps.size();
  if (name.step >= per_occurrence) return nullptr;
  const std::size_t position =
      std::size_t{name.occurrence} * per_occurrence + name.step;
  if (position >= job.steps.size()) return nullptr;
  StepState& step = job.steps[position];
  if (name.index >= step.tasks.size()) return nullptr;
  return &step.tasks[name.index];
}

JobProgress ProgressOf(const JobState& job) {
  JobProgress progress;
  progress.job = job.job.id;
  progress.phase = job.phase;
  for (const StepState& step : job.steps) {
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      const TaskState& task = step.tasks[i];
      const bool done = task.phase == TaskPhase::kDone;
      if (!done && task.failed_runs.empty() && task.checkpoint.empty())
        continue;
      progress.tasks.push_back({step.occurrence, step.step, i, done,
                                task.failed_runs,
                                done ? std::string() : task.checkpoint});
    }
  }
  return progress;
}

JobStatus StatusOf(const JobState& job) {
  return {job.job.id, job.job.queue, job.phase, job.job.accepted_at,
          job.job.spec.occurrences > 0};
}

bool DependenciesDone(JobState& job, const StepState& step) {
  for (const std::uint32_t earlier : job.SpecOf(step).after) {
    if (!job.StepAt(step.occurrence, earlier).finished()) return false;
  }
  return true;
}

WallTime DueOf(const JobState& job, const StepState& step) {
  if (job.job.spec.occurrences == 0) return WallTime{};
  const auto interval =
      static_cast<std::uint64_t>(ToMilliseconds(job.job.spec.interval));
  return WallTime{job.job.spec.first_due.value + step.occurrence * interval};
}

Duration LongestChain(const JobSpec& spec) {
  std::vector<Duration> ends;
  Duration longest{};
  for (const StepSpec& step : spec.steps) {
    Duration start{};
    for (const std::uint32_t earlier : step.after) {
      if (earlier < ends.size()) start = std::max(start, ends[earlier]);
    }
    ends.push_back(start + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

Duration ObjectiveOf(const JobState& job) {
  const double chain = static_cast<double>(LongestChain(job.job.spec).count());
  return Duration(static_cast<std::int64_t>(chain * job.queue.slack_factor)) +
         job.queue.target_runtime;
}

}  // namespace jasminespar::jobs
