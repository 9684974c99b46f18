#include "recovery.h"

#include <algorithm>
#include <utility>

#include "gang_control.h"
#include "orphans.h"
#include "outcomes.h"
#include "work_queue.h"

namespace jasminespar::cell {
namespace {

/// Limit of the task updates kept until recovery ends. Later ones are dropped;
/// the workers' reports hold the rest of the state.
constexpr std::size_t kMaxDeferredUpdates = 100'000;

TimePoint ToSteadyTime(WallTime wall, Now now) {
  return now.steady +
         std::chrono::milliseconds(wall.milliseconds - now.wall.milliseconds);
}

const ReportedTask* FindTask(const std::vector<ReportedTask>& tasks,
                             const TaskRef& ref) {
  const auto found =
      std::find_if(tasks.begin(), tasks.end(),
                   [&](const ReportedTask& task) { return task.task == ref; });
  return found == tasks.end() ? nullptr : &*found;
}

/// @return whether the worker knows the task from a stop alone, without its
///     order. It may have run the task before a restart.
bool IsKnownFromStopOnly(const ReportedTask& task) {
  return task.state == TaskState::kNeverStarted && task.accelerators == 0;
}

/// @return the member of an attempt that an earlier owner may have ordered and
///     released. Only its worker's report can rule out that it ran.
GangMember ResumedMember(const Context& context,
                         const scheduling::Allocation& allocation,
                         const ReportedTask* task) {
  GangMember member;
  member.allocation = allocation;
  if (task != nullptr) {
    member.epoch = task->epoch;
    member.last_state = task->state;
    member.stopped_after_release = IsKnownFromStopOnly(*task);
    member.released = HasStarted(task->state) || member.stopped_after_release;
    return member;
  }
  member.released = true;
  member.lost = !context.workers.IsListed(allocation.worker) ||
                context.workers.HasReported(allocation.worker);
  return member;
}

}  // namespace

Recovery::Recovery(Context& context, RecoveredState recovered)
    : deadline_(context.now.steady + context.settings.recovery_timeout) {
  for (auto& [id, call] : Replay(std::move(recovered.records))) {
    if (call.accepted) RestoreCall(context, std::move(call));
  }
}

void Recovery::RestoreCall(Context& context, ReplayedCall replayed) {
  const CallId id = replayed.accepted->request.id;
  if (!replayed.ended && !RequiresDurability(replayed.accepted->request)) {
    RecordEarlierAttempt(context, id, replayed.attempt);
    return;
  }
  if (replayed.ended && replayed.ended->forget_at <= context.now.wall) {
    context.calls.Remember(
        id, {replayed.accepted->request.key.account, Verdict::kMayHaveRun},
        context.now.steady + context.settings.default_retention);
    return;
  }
  Call& call = context.calls.Insert(std::move(replayed.accepted->request));
  call.deadline_wall = replayed.accepted->deadline;
  call.deadline = ToSteadyTime(call.deadline_wall, context.now);
  call.arrival =
      std::min(context.now.steady, call.deadline - call.request.time_left);
  call.attempt = replayed.attempt;
  call.awaits_resubmission = call.request.delivery == Delivery::kWait;
  if (replayed.ended) {
    call.phase = CallPhase::kEnded;
    call.outcome = std::move(replayed.ended->outcome);
    call.forget_at = replayed.ended->forget_at;
    call.answered = true;
    UpdateTimer(context, call);
    return;
  }
  // Attempts of idempotent calls leave no record.
  if (IsIdempotent(call)) call.past_verdict = Verdict::kMayHaveRun;
  if (replayed.open_placement) {
    // Unknown until the workers have reported.
    call.past_verdict = Verdict::kMayHaveRun;
    call.open_placement = std::move(replayed.open_placement);
  }
  UpdateTimer(context, call);
}

void Recovery::HandleWorkerReport(Context& context,
                                  const WorkerReported& report) {
  context.workers.MarkReported(report.worker, report.leaving);
  reports_[report.worker] = report.tasks;
}

void Recovery::DeferUpdate(const TaskUpdate& update) {
  if (deferred_updates_.size() < kMaxDeferredUpdates) {
    deferred_updates_.push_back(update);
  }
}

void Recovery::HandleWorkerLost(Context& context, WorkerId worker) {
  context.workers.MarkLost(worker);
  reports_.erase(worker);
}

void Recovery::TryFinish(Context& context) {
  const bool timed_out = context.now.steady >= deadline_;
  if (context.workers.AllReported() || timed_out) Finish(context);
}

/// Enqueues a call for which no worker reported a run.
void Recovery::EnqueueWaiting(Context& context, Call& call) {
  const bool submitted_here = call.accepted_sequence.value > 0;
  const bool known_earlier = context.earlier_attempts.contains(call.request.id);
  if (submitted_here && !known_earlier && context.workers.AllReported()) {
    call.past_verdict = Verdict::kNotRun;
  }
  if (!call.enqueue_at && !context.handing_over) EnqueueOrRetry(context, call);
}

std::map<CallId, Recovery::Tasks> Recovery::TakeReportedTasks(
    const Context& context) {
  std::map<CallId, Tasks> tasks;
  for (auto& [worker, reported] : std::exchange(reports_, {})) {
    for (ReportedTask& task : reported) {
      if (task.cell != context.cell) continue;
      tasks[task.task.call].push_back(std::move(task));
    }
  }
  return tasks;
}

void Recovery::Finish(Context& context) {
  context.recovering = false;
  std::map<CallId, Tasks> tasks = TakeReportedTasks(context);
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (call.phase != CallPhase::kWaiting || !call.open_placement) continue;
    ResumeRecordedAttempt(context, call, tasks[id]);
    tasks.erase(id);
  }
  for (const auto& [id, found] : tasks) ResumeReportedRun(context, id, found);
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (call.phase == CallPhase::kWaiting) EnqueueWaiting(context, call);
  }
  for (const TaskUpdate& update : std::exchange(deferred_updates_, {})) {
    cell::HandleTaskUpdate(context, update);
  }
}

void Recovery::ResumeRecordedAttempt(Context& context, Call& call,
                                     const Tasks& tasks) {
  const scheduling::Placement placement =
      *std::exchange(call.open_placement, {});
  // Earlier attempts are known not to have run.
  call.past_verdict = Verdict::kNotRun;
  std::vector<GangMember> members;
  for (const scheduling::Allocation& allocation : placement.parts) {
    const TaskRef ref{call.request.id, call.attempt, allocation.worker};
    GangMember member =
        ResumedMember(context, allocation, FindTask(tasks, ref));
    const bool occupies =
        !HasEnded(member) && context.workers.IsFree(member.allocation);
    if (occupies) call.placement.parts.push_back(member.allocation);
    members.push_back(member);
  }
  for (const ReportedTask& task : tasks) {
    if (task.task.attempt != call.attempt) DiscardTask(context, task);
  }
  const CallId id = call.request.id;
  if (!call.placement.parts.empty()) {
    context.workers.Occupy(id, call.placement);
    context.scheduler.Adopt(ToJob(call), call.placement, context.now.steady);
  }
  call.run.emplace(id, call.attempt, GangPhase::kReleased, std::move(members));
  call.phase = CallPhase::kActive;
  call.run->Advance(context.now.steady, context.effects);
  FinishRunIfEnded(context, call);
}

void Recovery::ResumeReportedRun(Context& context, const CallId& id,
                                 const Tasks& tasks) {
  Call* call = context.calls.Find(id);
  const bool may_adopt =
      call == nullptr ||
      (IsIdempotent(*call) && call->phase == CallPhase::kWaiting);
  Attempt latest;
  for (const ReportedTask& task : tasks) {
    latest = std::max(latest, task.task.attempt);
  }
  Tasks gang;
  for (const ReportedTask& task : tasks) {
    if (may_adopt && task.task.attempt == latest) {
      gang.push_back(task);
    } else {
      DiscardTask(context, task);
    }
  }
  std::sort(gang.begin(), gang.end(),
            [](const ReportedTask& a, const ReportedTask& b) {
              return a.rank < b.rank;
            });
  if (may_adopt && !AddOrphan(context, gang)) {
    for (const ReportedTask& task : gang) DiscardTask(context, task);
  }
  if (call == nullptr) {
    RecordEarlierAttempt(context, id, latest);
  } else if (may_adopt) {
    call->attempt = std::max(call->attempt, latest);
    call->past_verdict = Verdict::kMayHaveRun;
    RecordEarlierAttempt(context, id, latest);
    AdoptOrphan(context, *call);
  }
}

}  // namespace jasminespar::cell
