#include <algorithm>
#include <string>
#include <utility>

#include "dispatcher_impl.h"
#include "jasminespar/jobs/stall_rule.h"

namespace jasminespar::jobs {

namespace {

/// Between two looks at the progress of all runs.
constexpr Duration kStallCheckInterval = 500ms;

/// A run that has not stalled is judged again after this part of the patience
/// that is left: what others show may shorten it.
constexpr int kRejudgedPart = 4;

/// A worker on which a run stalled gets no new work for this long.
constexpr Duration kStallQuarantine = 6s;

/// A run that progressed within this time goes on.
constexpr Duration kGoingOn = kMinStallPatience / 2;

/// Stalls of different jobs within this time point at their worker.
constexpr Duration kStallsTogether = 30s;

RunProgress ProgressOf(const PlacedRun& placed) {
  RunProgress progress;
  progress.percent = placed.percent;
  progress.rate_since = placed.rate_since;
  progress.rate_from = placed.rate_from;
  progress.progressed_at = placed.progressed_at;
  progress.reported_at = placed.reported_at;
  return progress;
}

bool IsDue(const PlacedRun& placed, TimePoint now) {
  return placed.phase == PlacedRunPhase::kRunning && now >= placed.judge_at &&
         StoodFor(ProgressOf(placed)) >= kMinStallPatience;
}

/// @return whether another run on the worker goes on while this one stands.
bool HasOtherRunGoingOn(const WorkerState& worker, const TaskName& stalled,
                        TimePoint now) {
  return std::any_of(worker.placed_runs.begin(), worker.placed_runs.end(),
                     [&](const auto& entry) {
                       return entry.first != stalled &&
                              entry.second.percent > 0 &&
                              now - entry.second.progressed_at < kGoingOn;
                     });
}

std::string DetailOf(const RunGroup& group, std::size_t member) {
  const RunProgress& run = group.members[member];
  return "percent=" + std::to_string(run.percent) +
         " still_ms=" + std::to_string(ToMilliseconds(StoodFor(run))) +
         " patience_ms=" +
         std::to_string(ToMilliseconds(PatienceWith(group, member))) +
         " stops=" + std::to_string(group.stops);
}

}  // namespace

void NoteProgress(PlacedRun& placed, const ListedRun& listed, TimePoint now) {
  placed.reported_at = now;
  const bool fresh = placed.start_checkpoint.empty() && placed.confirmed_at;
  if (!placed.rate_since && !placed.adopted && fresh) {
    placed.rate_since = placed.confirmed_at;
  }
  if (placed.percent != listed.percent) {
    placed.progressed_at = now;
    // What a resumed run shows first is not its own work, and a run that an
    // earlier owner started was at work for an unknown time.
    if (!placed.rate_since) {
      placed.rate_since = now;
      placed.rate_from = listed.percent;
    }
  }
  placed.percent = listed.percent;
  if (placed.checkpoint != listed.checkpoint) placed.progressed_at = now;
  placed.checkpoint = listed.checkpoint;
}

PlacedRun* Dispatcher::Impl::FindRunning(const TaskName& name,
                                         const TaskState& task) {
  if (task.phase != TaskPhase::kActive) return nullptr;
  WorkerState* worker = FindWorker(task.worker);
  if (worker == nullptr) return nullptr;
  const auto found = worker->placed_runs.find(name);
  if (found == worker->placed_runs.end()) return nullptr;
  PlacedRun& placed = found->second;
  const bool running =
      placed.run == task.run && placed.phase == PlacedRunPhase::kRunning;
  return running ? &placed : nullptr;
}

void Dispatcher::Impl::StopStalledRuns(const Now& now) {
  if (now.steady < next_stall_check_) return;
  next_stall_check_ = now.steady + kStallCheckInterval;
  // Of a gang, the first task stands for all.
  std::set<TaskName> due;
  for (auto& [worker_name, worker] : workers_) {
    if (worker.silent) continue;
    for (auto& [name, placed] : worker.placed_runs) {
      if (!IsDue(placed, now.steady)) continue;
      JobState* job = FindJob(name.job);
      if (job == nullptr || !job->live()) continue;
      const StepSpec& spec = job->SpecOf(StepOf(*job, name));
      if (spec.long_running) continue;
      TaskName judged = name;
      if (spec.gang) judged.index = 0;
      due.insert(judged);
    }
  }
  const StepState* step = nullptr;
  std::optional<Duration> shown;
  for (const TaskName& name : due) {
    JobState& job = jobs_.at(name.job);
    if (step != &StepOf(job, name)) {
      step = &StepOf(job, name);
      shown = LongestShownRunTime(job, *step);
    }
    JudgeRuns(job, name, shown, now);
  }
}

std::optional<Duration> Dispatcher::Impl::LongestShownRunTime(
    const JobState& job, const StepState& step) {
  std::optional<Duration> longest;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const TaskName name{job.job.id, step.occurrence, step.step, i};
    const PlacedRun* placed = FindRunning(name, step.tasks[i]);
    if (placed == nullptr) continue;
    const std::optional<Duration> shown = ShownRunTime(ProgressOf(*placed));
    if (shown && (!longest || *shown > *longest)) longest = shown;
  }
  return longest;
}

void Dispatcher::Impl::JudgeRuns(JobState& job, const TaskName& first,
                                 const std::optional<Duration>& shown,
                                 const Now& now) {
  StepState& step = StepOf(job, first);
  const StepSpec& spec = job.SpecOf(step);
  RunGroup group;
  group.estimate = spec.estimate;
  group.fellows_run_time = shown;
  group.stops = step.tasks[first.index].stalls;
  std::vector<std::pair<TaskName, PlacedRun*>> runs;
  const std::uint32_t end = spec.gang
                                ? static_cast<std::uint32_t>(step.tasks.size())
                                : first.index + 1;
  for (TaskName name = first; name.index < end; ++name.index) {
    PlacedRun* placed = FindRunning(name, step.tasks[name.index]);
    // The start or the end of another member is still under way.
    if (placed == nullptr) return;
    RunProgress progress = ProgressOf(*placed);
    progress.worker_stands =
        IsWorkerStanding(workers_.at(step.tasks[name.index].worker), now);
    group.members.push_back(progress);
    runs.emplace_back(name, placed);
  }
  if (const std::optional<std::size_t> stalled = FindStalled(group)) {
    StopStalledRun(job, runs[*stalled].first, DetailOf(group, *stalled), now);
    return;
  }
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const Duration left = PatienceWith(group, i) - StoodFor(group.members[i]);
    runs[i].second->judge_at =
        now.steady + std::max(kStallCheckInterval, left / kRejudgedPart);
  }
}

bool Dispatcher::Impl::IsWorkerStanding(const WorkerState& worker,
                                        const Now& now) {
  if (worker.placed_runs.size() < 2) return false;
  TimePoint latest;
  for (const auto& [name, placed] : worker.placed_runs) {
    JobState* job = FindJob(name.job);
    if (job == nullptr || placed.phase != PlacedRunPhase::kRunning) {
      return false;
    }
    const StepSpec& spec = job->SpecOf(StepOf(*job, name));
    if (spec.long_running) return false;
    const RunGroup alone{{ProgressOf(placed)}, spec.estimate, {}, 0};
    if (StoodFor(alone.members[0]) < PatienceWith(alone, 0) / 2) return false;
    latest = std::max(latest, placed.progressed_at);
  }
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const WorkerState& other = entry.second;
    return &other != &worker && other.entry.service == worker.entry.service &&
           std::any_of(other.placed_runs.begin(), other.placed_runs.end(),
                       [&](const auto& run) {
                         return run.second.percent > 0 &&
                                run.second.progressed_at > latest &&
                                now.steady - run.second.progressed_at <
                                    kMinStallPatience;
                       });
  });
}

bool Dispatcher::Impl::MaySuspect(const WorkerState& worker,
                                  const Now& now) const {
  const auto suspected = [&](const WorkerState& each) {
    return each.stalled_at && now.steady - *each.stalled_at < kStallQuarantine;
  };
  if (suspected(worker)) return true;
  std::size_t total = 0;
  std::size_t suspects = 0;
  for (const auto& [name, each] : workers_) {
    if (!each.listed || each.entry.service != worker.entry.service) continue;
    ++total;
    if (suspected(each)) ++suspects;
  }
  return suspects < MaxStalledWorkers(total);
}

bool Dispatcher::Impl::IsLastUsable(const WorkerState& worker,
                                    const Now& now) const {
  return std::none_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const WorkerState& other = entry.second;
    return &other != &worker && other.entry.service == worker.entry.service &&
           IsUsable(other, now.steady);
  });
}

void Dispatcher::Impl::StopStalledRun(JobState& job, const TaskName& name,
                                      const std::string& detail,
                                      const Now& now) {
  StepState& step = StepOf(job, name);
  TaskState& task = step.tasks[name.index];
  WorkerState& worker = workers_.at(task.worker);
  if (!MaySuspect(worker, now)) return;
  // A gang's stops and its worker to avoid are kept with its first task.
  TaskState& counted = job.SpecOf(step).gang ? step.tasks.front() : task;
  ++counted.stalls;
  counted.failed_on = worker.entry.name;
  const bool repeated = worker.stalled_at &&
                        worker.last_stalled_job != name.job &&
                        now.steady - *worker.stalled_at < kStallsTogether;
  const bool blamed = repeated || !HasOtherRunGoingOn(worker, name, now.steady);
  if (blamed && !IsLastUsable(worker, now)) {
    worker.quarantined_until =
        std::max(worker.quarantined_until, now.steady + kStallQuarantine);
  }
  worker.stalled_at = now.steady;
  worker.last_stalled_job = name.job;
  BeginStop(worker, name, worker.placed_runs.at(name),
            DecisionCause::kNoProgress, now, detail);
}

}  // namespace jasminespar::jobs
