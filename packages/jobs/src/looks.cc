#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// A look waits this long for an end; the worker allows no more.
constexpr Duration kLookWait = 2s;

/// Between looks at a worker that runs nothing.
constexpr Duration kIdleLookInterval = 2s;

/// Ends that no commit has written yet would end a long look at once.
constexpr Duration kUncommittedLookInterval = 400ms;

/// After a look without an answer.
constexpr Duration kLookRetryInterval = 150ms;

/// Without an answer for this long a worker gets nothing new.
constexpr Duration kSilentAfter = 1500ms;

/// A run whose progress does not change for this long is started elsewhere.
constexpr Duration kStandstillLimit = 5s;

/// A worker on which a run stood still gets nothing new for this long.
constexpr Duration kStandstillQuarantine = 6s;

constexpr std::uint32_t kMaxLooksInFlight = 2;

}  // namespace

void Dispatcher::Impl::LookAtWorkers(const Now& now) {
  for (auto& [name, worker] : workers_) {
    const bool needed =
        worker.listed || !worker.holds.empty() || !worker.accounted;
    if (!needed) continue;
    const bool uncommitted = worker.processed_to != worker.durable_to;
    if (worker.looks_in_flight == 0 && now.steady >= worker.next_look) {
      const bool at_once = !worker.clock || worker.holds.empty() || uncommitted;
      SendLook(worker, at_once ? Duration{} : kLookWait, now);
    } else if (worker.look_soon && worker.looks_in_flight < kMaxLooksInFlight) {
      SendLook(worker, Duration{}, now);
    }
  }
}

void Dispatcher::Impl::SendLook(WorkerState& worker, Duration wait,
                                const Now& now) {
  worker.look_soon = false;
  ++worker.looks_in_flight;
  Send(worker, PendingOrder{}, PollWorker{worker.durable_to, wait}, now);
}

void Dispatcher::Impl::LookUnanswered(WorkerState& worker, const Now& now) {
  worker.next_look = now.steady + kLookRetryInterval;
  if (worker.silent || now.steady - worker.last_answer < kSilentAfter) return;
  worker.silent = true;
  NoteWorker(DecisionKind::kWorkerSilent, worker.entry.name,
             now.steady - worker.last_answer);
}

void Dispatcher::Impl::TakeReport(WorkerState& worker, const PendingOrder& look,
                                  const WorkerReport& report, const Now& now) {
  if (worker.silent) {
    worker.silent = false;
    NoteWorker(DecisionKind::kWorkerBack, worker.entry.name,
               now.steady - worker.last_answer);
  }
  worker.last_answer = now.steady;
  if (!std::exchange(worker.accounted, true)) {
    // A former owner's orders are refused from here on.
    worker.lease_over_at = std::min(
        worker.lease_over_at, LeaseOverAt(settings_.max_lease, now.steady));
  }
  TakeIncarnation(worker, report.incarnation, now);
  if (!worker.clock || report.clock > *worker.clock) {
    worker.clock = report.clock;
    worker.clock_at = now.steady;
  }
  if (report.leaving) worker.leaving = true;
  for (const ListedEnd& end : report.ends) {
    if (end.number <= worker.processed_to) continue;
    worker.processed_to = end.number;
    TakeEnd(worker, end, now);
  }
  for (const ListedRun& run : report.runs) TakeListedRun(worker, run, now);
  DropUnlisted(worker, look, report, now);
  if (worker.processed_to != worker.durable_to) {
    worker.next_look = now.steady + kUncommittedLookInterval;
  } else if (worker.holds.empty()) {
    worker.next_look = now.steady + kIdleLookInterval;
  } else {
    worker.next_look = now.steady;
  }
}

void Dispatcher::Impl::TakeIncarnation(WorkerState& worker,
                                       Incarnation incarnation,
                                       const Now& now) {
  if (worker.entry.incarnation == incarnation) return;
  if (worker.clock) {
    NoteWorker(DecisionKind::kWorkerReborn, worker.entry.name,
               now.steady - worker.last_answer);
  }
  worker.entry.incarnation = incarnation;
  worker.clock.reset();
  worker.processed_to = 0;
  worker.committing_to = 0;
  worker.durable_to = 0;
  worker.failures_in_row = 0;
}

void Dispatcher::Impl::TakeListedRun(WorkerState& worker,
                                     const ListedRun& listed, const Now& now) {
  const auto found = worker.holds.find(listed.task);
  if (found == worker.holds.end()) {
    Adopt(worker, listed, now);
    return;
  }
  Hold& hold = found->second;
  if (hold.run != listed.run) return;
  hold.incarnation = worker.entry.incarnation;
  if (!hold.confirmed_at) {
    PendingOrder confirmed;
    confirmed.worker = worker.entry.name;
    confirmed.task = listed.task;
    confirmed.run = listed.run;
    StartAccepted(worker, confirmed, now);
  }
  if (hold.percent != listed.percent) hold.progressed_at = now.steady;
  hold.percent = listed.percent;
  if (hold.checkpoint != listed.checkpoint) hold.progressed_at = now.steady;
  hold.checkpoint = listed.checkpoint;
}

void Dispatcher::Impl::Adopt(WorkerState& worker, const ListedRun& listed,
                             const Now& now) {
  JobState* job = FindJob(listed.task.job);
  TaskState* task = job == nullptr ? nullptr : FindTask(*job, listed.task);
  Hold hold;
  hold.run = listed.run;
  hold.incarnation = worker.entry.incarnation;
  hold.phase = HoldPhase::kRunning;
  hold.confirmed_at = now.steady;
  hold.progressed_at = now.steady;
  hold.percent = listed.percent;
  hold.checkpoint = listed.checkpoint;
  hold.stray = task == nullptr;
  if (task != nullptr) {
    const StepState& step = StepOf(*job, listed.task);
    hold.need = NeedOf(job->SpecOf(step));
    hold.priority = job->queue.priority;
    hold.account = job->job.account;
  }
  AddHold(worker, listed.task, hold);
  Hold& kept = worker.holds.at(listed.task);
  if (task == nullptr || !job->live() || task->phase != TaskPhase::kWaiting) {
    BeginStop(worker, listed.task, kept, DecisionCause::kStray, now);
    return;
  }
  task->phase = TaskPhase::kActive;
  task->run = listed.run;
  task->worker = worker.entry.name;
  ++StepOf(*job, listed.task).active;
  if (job->phase != JobPhase::kQueued) return;
  job->phase = JobPhase::kRunning;
  job->status_dirty = true;
  Touch(*job);
}

void Dispatcher::Impl::DropUnlisted(WorkerState& worker,
                                    const PendingOrder& look,
                                    const WorkerReport& report,
                                    const Now& now) {
  std::set<TaskName> listed;
  for (const ListedRun& run : report.runs) listed.insert(run.task);
  std::vector<TaskName> gone;
  for (const auto& [name, hold] : worker.holds) {
    if (listed.contains(name)) continue;
    const bool never_came =
        hold.stop_confirmed_at && *hold.stop_confirmed_at < look.sent_at;
    const bool other_life = hold.incarnation != report.incarnation &&
                            hold.confirmed_at &&
                            *hold.confirmed_at < look.sent_at;
    if (never_came || other_life) gone.push_back(name);
  }
  for (const TaskName& name : gone) {
    const bool other_life =
        worker.holds.at(name).incarnation != report.incarnation;
    DropHold(worker, name,
             other_life ? DecisionCause::kNewIncarnation
                        : DecisionCause::kUnanswered,
             now);
  }
}

void Dispatcher::Impl::ExpireLeases(const Now& now) {
  for (auto& [name, worker] : workers_) {
    if (now.steady < worker.lease_over_at) continue;
    worker.accounted = worker.accounted || loaded_;
    if (!worker.silent) continue;
    while (!worker.holds.empty()) {
      const TaskName task = worker.holds.begin()->first;
      DropHold(worker, task, DecisionCause::kLeaseOver, now);
    }
  }
}

void Dispatcher::Impl::WatchProgress(const Now& now) {
  for (auto& [name, worker] : workers_) {
    if (worker.silent) continue;
    for (auto& [task, hold] : worker.holds) {
      if (hold.phase != HoldPhase::kRunning) continue;
      if (now.steady - hold.progressed_at < kStandstillLimit) continue;
      JobState* job = FindJob(task.job);
      if (job == nullptr || job->SpecOf(StepOf(*job, task)).long_running)
        continue;
      worker.quarantined_until = now.steady + kStandstillQuarantine;
      BeginStop(worker, task, hold, DecisionCause::kNoProgress, now);
    }
  }
}

}  // namespace jasminespar::jobs
