#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// Consecutive failures, of different jobs, that quarantine a worker.
constexpr std::uint32_t kFailuresToQuarantine = 2;

constexpr Duration kFailureQuarantine = 6s;

/// @param task of the step.
std::uint32_t IndexOf(const StepState& step, const TaskState& task) {
  return static_cast<std::uint32_t>(&task - step.tasks.data());
}

}  // namespace

void Dispatcher::Impl::HandleRunEnd(WorkerState& worker, const EndedRun& end,
                                    const Now& now) {
  JobState* job = FindJob(end.task.job);
  TaskState* task = job == nullptr ? nullptr : FindTask(*job, end.task);
  const auto held = worker.placed_runs.find(end.task);
  if (held != worker.placed_runs.end() && held->second.run == end.run) {
    ObserveEnd(worker, end, held->second, now);
    RemovePlacedRun(worker, end.task);
  }
  LogRunDecision(DecisionKind::kRunEnded, DecisionCause::kNone, end.task,
                 worker.entry.name, end.run,
                 RowOf(kRunEndingNames, end.ending).name,
                 job == nullptr ? Duration{} : job->AgeAt(now.steady));
  if (task == nullptr) return;
  StepState& step = StepOf(*job, end.task);
  const bool current = task->phase == TaskPhase::kActive &&
                       task->run == end.run &&
                       task->worker == worker.entry.name;
  if (end.ending == RunEnding::kDone) {
    // Of another run or worker, an earlier owner may have concluded that it was
    // over.
    const bool started_again =
        worker.used_before && task->phase == TaskPhase::kActive &&
        task->run >= FirstOwnRun() && task->run > end.run;
    if (started_again && !IsConcludedOver(worker, end.task, end.run)) {
      ReportContradiction(Contradiction::kDoneUnnoticed, worker, end.task,
                          end.run, now);
    }
    worker.failures_in_row = 0;
    if (job->SpecOf(step).long_running) {
      if (current) RequeueTask(*job, step, *task, now);
    } else {
      MarkDone(*job, step, *task, now);
    }
    return;
  }
  if (!end.checkpoint.empty() && task->phase != TaskPhase::kDone) {
    RecordCheckpoint(*job, step, *task, end.checkpoint);
  }
  if (current) RequeueTask(*job, step, *task, now);
  if (job->SpecOf(step).gang) {
    StopGang(*job, step, end.run, DecisionCause::kGangIncomplete, now);
  }
  if (end.ending == RunEnding::kFailed) {
    HandleFailedRun(worker, *job, step, end, now);
  }
}

void Dispatcher::Impl::HandleFailedRun(WorkerState& worker, JobState& job,
                                       StepState& step, const EndedRun& end,
                                       const Now& now) {
  if (worker.last_failed_job != end.task.job) ++worker.failures_in_row;
  worker.last_failed_job = end.task.job;
  if (worker.failures_in_row >= kFailuresToQuarantine) {
    worker.quarantined_until = now.steady + kFailureQuarantine;
    LogWorkerDecision(DecisionKind::kWorkerQuarantined, worker.entry.name, {});
  }
  const StepSpec& spec = job.SpecOf(step);
  step.tasks[end.task.index].failed_on = worker.entry.name;
  // A gang fails as a whole: its failures are counted on its first task.
  TaskState& counted =
      spec.gang ? step.tasks.front() : step.tasks[end.task.index];
  if (spec.long_running || !job.live()) return;
  std::vector<RunNumber>& failed = counted.failed_runs;
  if (std::find(failed.begin(), failed.end(), end.run) != failed.end()) return;
  failed.push_back(end.run);
  MarkDirty(job, step, spec.gang ? 0 : end.task.index);
  // Without a configuration of the queue its limit is not known.
  if (job.queue.service.value.empty()) return;
  if (failed.size() < job.queue.max_attempts) return;
  LogJobDecision(DecisionKind::kJobFailed, job, worker.entry.name.value, now);
  EndJob(job, JobPhase::kFailed, now);
}

void Dispatcher::Impl::MarkDone(JobState& job, StepState& step, TaskState& task,
                                const Now& now) {
  const bool known = task.phase == TaskPhase::kDone;
  const auto mark = [&](TaskState& each) {
    if (each.phase == TaskPhase::kDone) return;
    if (each.phase == TaskPhase::kActive) --step.active;
    each.phase = TaskPhase::kDone;
    ++step.done;
    MarkDirty(job, step, IndexOf(step, each));
  };
  if (job.SpecOf(step).gang) {
    for (TaskState& each : step.tasks) mark(each);
  } else {
    mark(task);
  }
  if (known) return;
  if (step.finished()) plans_.Cancel(ReclaimPlans::KeyOf(job, step), workers_);
  const bool finished =
      std::all_of(job.steps.begin(), job.steps.end(),
                  [](const StepState& each) { return each.finished(); });
  if (!finished || !job.live()) return;
  LogJobDecision(DecisionKind::kJobCompleted, job, "", now);
  EndJob(job, JobPhase::kCompleted, now);
}

void Dispatcher::Impl::RecordCheckpoint(JobState& job, StepState& step,
                                        TaskState& task,
                                        const std::string& checkpoint) {
  const auto record = [&](TaskState& each) {
    each.checkpoint = checkpoint;
    MarkDirty(job, step, IndexOf(step, each));
  };
  if (!job.SpecOf(step).gang) {
    record(task);
  } else {
    for (TaskState& each : step.tasks) record(each);
  }
}

void Dispatcher::Impl::RequeueTask(JobState& job, StepState& step,
                                   TaskState& task, const Now& now) {
  task.phase = TaskPhase::kWaiting;
  task.waiting_since = now.steady;
  --step.active;
  if (surplus_runs_ == 0) return;
  const TaskName name{job.job.id, step.occurrence, step.step,
                      IndexOf(step, task)};
  for (auto& [worker_name, worker] : workers_) {
    const auto held = worker.placed_runs.find(name);
    if (held == worker.placed_runs.end() || !held->second.surplus) continue;
    held->second.surplus = false;
    --surplus_runs_;
    Activate(step, task, worker, held->second.run);
    return;
  }
}

void Dispatcher::Impl::HandleLostRun(WorkerState& worker, const TaskName& name,
                                     DecisionCause cause, const Now& now) {
  const PlacedRun placed = worker.placed_runs.at(name);
  RemovePlacedRun(worker, name);
  ConcludeOver(worker, name, placed.run, cause, now);
  LogRunDecision(DecisionKind::kRunLost, cause, name, worker.entry.name,
                 placed.run, "", now.steady - worker.last_answer);
  JobState* job = FindJob(name.job);
  TaskState* task = job == nullptr ? nullptr : FindTask(*job, name);
  if (task == nullptr) return;
  StepState& step = StepOf(*job, name);
  const bool current = task->phase == TaskPhase::kActive &&
                       task->run == placed.run &&
                       task->worker == worker.entry.name;
  if (!placed.checkpoint.empty() && task->phase != TaskPhase::kDone) {
    RecordCheckpoint(*job, step, *task, placed.checkpoint);
  }
  if (current) RequeueTask(*job, step, *task, now);
  if (job->SpecOf(step).gang) {
    StopGang(*job, step, placed.run, DecisionCause::kGangIncomplete, now);
  }
}

void Dispatcher::Impl::EndJob(JobState& job, JobPhase phase, const Now& now) {
  job.phase = phase;
  job.final_at = now.steady;
  job.status_dirty = true;
  MarkDirty(job, 0);
  live_.erase(job.job.id);
  for (const StepState& step : job.steps) {
    plans_.Cancel(ReclaimPlans::KeyOf(job, step), workers_);
  }
  // The remaining members of a completed gang end on their own.
  if (phase != JobPhase::kCompleted) StopRunsOf(job.job.id, now);
}

void Dispatcher::Impl::StopRunsOf(const JobId& job, const Now& now) {
  for (auto& [worker_name, worker] : workers_) {
    for (const TaskName& task : PlacedTasksOf(worker, job)) {
      BeginStop(worker, task, worker.placed_runs.at(task),
                DecisionCause::kCancelled, now);
    }
  }
}

void Dispatcher::Impl::StopGang(JobState& job, StepState& step, RunNumber run,
                                DecisionCause cause, const Now& now) {
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& member = step.tasks[i];
    if (member.phase != TaskPhase::kActive || member.run != run) continue;
    const TaskName name{job.job.id, step.occurrence, step.step, i};
    WorkerState* worker = FindWorker(member.worker);
    if (worker == nullptr) continue;
    const auto held = worker->placed_runs.find(name);
    if (held == worker->placed_runs.end()) continue;
    BeginStop(*worker, name, held->second, cause, now);
  }
}

void Dispatcher::Impl::BeginStop(WorkerState& worker, const TaskName& name,
                                 PlacedRun& placed, DecisionCause cause,
                                 const Now& now, std::string_view detail) {
  if (placed.phase == PlacedRunPhase::kStopping) return;
  placed.phase = PlacedRunPhase::kStopping;
  worker.has_open_orders = true;
  placed.in_flight = false;
  placed.retry_at = now.steady;
  LogRunDecision(DecisionKind::kStop, cause, name, worker.entry.name,
                 placed.run, detail, now.steady - worker.last_answer);
  SendStop(worker, name, placed, now);
}

}  // namespace jasminespar::jobs
