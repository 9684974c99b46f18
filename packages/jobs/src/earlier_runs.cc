// Runs that earlier owners of the cell started, some of jobs that this owner
// has not read yet.
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

bool Dispatcher::Impl::AreEarlierJobsKnown() const {
  if (!loaded_) return false;
  // The jobs were read after the cell was claimed.
  if (predecessors_.start == Duration{}) return true;
  return jobs_as_of_ >= loaded_at_ + predecessors_.start;
}

void Dispatcher::Impl::On(const JobRowsConfirmed& confirmed, const Now& now) {
  if (confirmed.as_of <= jobs_as_of_) return;
  const bool known = AreEarlierJobsKnown();
  jobs_as_of_ = confirmed.as_of;
  if (known || !AreEarlierJobsKnown()) return;
  for (auto& [name, worker] : workers_) {
    for (auto& [task, placed] : worker.placed_runs) {
      if (!placed.stray) continue;
      BeginStop(worker, task, placed, DecisionCause::kStray, now);
    }
  }
}

void Dispatcher::Impl::AdoptRun(WorkerState& worker, const ListedRun& listed,
                                const Now& now) {
  if (IsConcludedOver(worker, listed.task, listed.run)) {
    ReportContradiction(Contradiction::kStillRunning, worker, listed.task,
                        listed.run, now);
  }
  const JobState* job = FindJob(listed.task.job);
  PlacedRun placed;
  placed.run = listed.run;
  placed.incarnation = worker.incarnation;
  placed.in_known_process = true;
  placed.phase = PlacedRunPhase::kRunning;
  placed.confirmed_at = now.steady;
  placed.progressed_at = now.steady;
  placed.reported_at = now.steady;
  placed.track.Record(listed.percent, now.steady);
  placed.percent = listed.percent;
  placed.checkpoint = listed.checkpoint;
  placed.adopted = true;
  placed.stray = true;
  AddPlacedRun(worker, listed.task, std::move(placed));
  PlacedRun& kept = worker.placed_runs.at(listed.task);
  const bool may_become_known =
      !AreEarlierJobsKnown() && !cancelled_early_.contains(listed.task.job);
  if (job == nullptr && may_become_known) {
    LogRunDecision(DecisionKind::kRunOfUnknownJob, DecisionCause::kNone,
                   listed.task, worker.entry.name, listed.run, "", {});
    return;
  }
  AssignRun(worker, listed.task, kept, now);
}

void Dispatcher::Impl::AssignRun(WorkerState& worker, const TaskName& name,
                                 PlacedRun& placed, const Now& now) {
  JobState* job = FindJob(name.job);
  TaskState* task = job == nullptr ? nullptr : FindTask(*job, name);
  if (task == nullptr) {
    BeginStop(worker, name, placed, DecisionCause::kStray, now);
    return;
  }
  StepState& step = StepOf(*job, name);
  const bool waited_for = job->live() && task->phase == TaskPhase::kWaiting;
  PlacedRun described = placed;
  described.stray = false;
  described.surplus = job->live() && task->phase == TaskPhase::kActive;
  if (described.surplus) {
    ReportContradiction(Contradiction::kSecondRun, worker, name, placed.run,
                        now);
  }
  described.need = NeedOf(job->SpecOf(step));
  described.lasting = job->SpecOf(step).long_running;
  described.priority = job->queue.priority;
  described.account = job->job.account;
  RemovePlacedRun(worker, name);
  AddPlacedRun(worker, name, std::move(described));
  if (!waited_for) {
    BeginStop(worker, name, worker.placed_runs.at(name), DecisionCause::kStray,
              now);
    return;
  }
  Activate(step, *task, worker, worker.placed_runs.at(name).run);
  if (job->phase != JobPhase::kQueued) return;
  job->phase = JobPhase::kRunning;
  job->status_dirty = true;
  MarkDirty(*job, 0);
}

void Dispatcher::Impl::AdoptReportedRuns(JobState& job, const Now& now) {
  for (auto& [worker_name, worker] : workers_) {
    for (const TaskName& task : PlacedTasksOf(worker, job.job.id)) {
      AssignRun(worker, task, worker.placed_runs.at(task), now);
    }
  }
}

}  // namespace jasminespar::jobs
