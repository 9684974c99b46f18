#include "job_table.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace jasminespar::jobs {

namespace {

/// @return position after the last task of the job.
std::uint32_t EndOfTasks(const JobState& job) {
  if (job.steps.empty()) return 0;
  const StepState& last = job.steps.back();
  return last.first_task + static_cast<std::uint32_t>(last.tasks.size());
}

std::uint32_t EndOfRange(const JobState& job, std::size_t range) {
  return range + 1 < job.ranges.size() ? job.ranges[range + 1].first_task
                                       : EndOfTasks(job);
}

/// Restores the tasks of one stored range. A row that was written before its
/// range was split still has entries of later ranges, which are older.
void RestoreRange(JobState& state, const JobProgress& progress,
                  std::uint32_t end) {
  for (const TaskProgress& recorded : progress.tasks) {
    TaskState* task = FindTask(state, {state.job.id, recorded.occurrence,
                                       recorded.step, recorded.index});
    if (task == nullptr) continue;
    StepState& step = state.StepAt(recorded.occurrence, recorded.step);
    const std::uint32_t position = step.first_task + recorded.index;
    if (position < progress.first_task || position >= end) continue;
    task->failed_runs = recorded.failed_runs;
    task->checkpoint = recorded.checkpoint;
    if (!recorded.done) continue;
    task->phase = TaskPhase::kDone;
    ++step.done;
  }
}

void RestoreProgress(JobState& state, std::vector<JobProgress> rows) {
  state.ranges.push_back({});
  for (const JobProgress& row : rows) {
    // A phase never decreases, and not every row is written with each phase.
    state.phase = std::max(state.phase, row.phase);
    if (row.first_task > 0) state.ranges.push_back({row.first_task, false});
  }
  std::sort(state.ranges.begin(), state.ranges.end(),
            [](const ProgressRange& a, const ProgressRange& b) {
              return a.first_task < b.first_task;
            });
  for (const JobProgress& row : rows) {
    const ProgressRange& range = RangeAt(state, row.first_task);
    const auto index = static_cast<std::size_t>(&range - state.ranges.data());
    RestoreRange(state, row, EndOfRange(state, index));
  }
}

}  // namespace

JobState MakeJobState(JobLoaded found, const Now& now) {
  JobState state;
  state.job = std::move(found.job);
  state.queue = state.job.accepted_under.queue;
  state.queue.name = state.job.queue;
  state.queue_revision = state.job.accepted_under.revision;
  state.payload = std::make_shared<const std::string>(state.job.spec.payload);
  state.loaded_at = now.steady;
  state.final_at = now.steady;
  const std::uint64_t accepted = state.job.accepted_at.value;
  if (now.wall.value > accepted) {
    state.age_when_loaded =
        std::chrono::milliseconds(now.wall.value - accepted);
  }
  std::uint32_t position = 0;
  const std::uint32_t occurrences =
      std::max<std::uint32_t>(1, state.job.spec.occurrences);
  for (std::uint32_t k = 0; k < occurrences; ++k) {
    for (std::uint32_t s = 0; s < state.job.spec.steps.size(); ++s) {
      StepState step;
      step.occurrence = k;
      step.step = s;
      step.first_task = position;
      step.tasks.resize(state.job.spec.steps[s].count);
      position += state.job.spec.steps[s].count;
      for (TaskState& task : step.tasks) task.waiting_since = now.steady;
      state.steps.push_back(std::move(step));
    }
  }
  RestoreProgress(state, std::move(found.progress));
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

JobProgress ProgressOf(const JobState& job, std::size_t range) {
  JobProgress progress;
  progress.job = job.job.id;
  progress.phase = job.phase;
  progress.first_task = job.ranges[range].first_task;
  const std::uint32_t end = EndOfRange(job, range);
  for (const StepState& step : job.steps) {
    const auto count = static_cast<std::uint32_t>(step.tasks.size());
    if (step.first_task + count <= progress.first_task) continue;
    if (step.first_task >= end) break;
    const std::uint32_t from =
        std::max(progress.first_task, step.first_task) - step.first_task;
    const std::uint32_t to = std::min(end - step.first_task, count);
    for (std::uint32_t i = from; i < to; ++i) {
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

ProgressRange& RangeAt(JobState& job, std::uint32_t position) {
  const auto after =
      std::upper_bound(job.ranges.begin(), job.ranges.end(), position,
                       [](std::uint32_t at, const ProgressRange& range) {
                         return at < range.first_task;
                       });
  return *std::prev(after);
}

bool SplitRange(JobState& job, std::size_t range) {
  const std::uint32_t first = job.ranges[range].first_task;
  const std::uint32_t end = EndOfRange(job, range);
  if (end - first < 2) return false;
  job.ranges[range].dirty = true;
  job.ranges.insert(job.ranges.begin() + static_cast<std::ptrdiff_t>(range) + 1,
                    ProgressRange{first + (end - first) / 2, true});
  return true;
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
