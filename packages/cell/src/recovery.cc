#include "recovery.h"

#include <algorithm>
#include <utility>

#include "endings.h"
#include "gang_control.h"
#include "orphans.h"
#include "work_queue.h"

namespace jasminespar::cell {
namespace {

/// Words kept until recovery ends; the reports hold the rest of the state.
constexpr std::size_t kMaxKeptWords = 100'000;

TimePoint SteadyOf(WallTime wall, Now now) {
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

/// The part of an attempt that an earlier owner may have ordered and
/// released: nothing but the worker's own word rules out that it ran.
GangPart ResumedPart(const Context& context,
                     const scheduling::Allocation& allocation,
                     const ReportedTask* task) {
  GangPart part;
  part.allocation = allocation;
  if (task != nullptr) {
    part.epoch = task->epoch;
    part.known = task->state;
    part.released = HasStarted(task->state);
    return part;
  }
  part.released = true;
  part.lost = !context.workers.IsListed(allocation.worker) ||
              context.workers.HasReported(allocation.worker);
  return part;
}

}  // namespace

Recovery::Recovery(Context& context, RecoveredState recovered)
    : deadline_(context.now.steady + context.settings.recovery_timeout) {
  for (auto& [id, call] : Replay(std::move(recovered.records))) {
    if (call.accepted) Revive(context, std::move(call));
  }
}

void Recovery::Revive(Context& context, ReplayedCall replayed) {
  const CallId id = replayed.accepted->request.id;
  if (!replayed.ended && !IsPromised(replayed.accepted->request)) {
    NoteEarlierAttempt(context, id, replayed.attempt);
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
  call.deadline = SteadyOf(call.deadline_wall, context.now);
  call.arrival =
      std::min(context.now.steady, call.deadline - call.request.time_left);
  call.attempt = replayed.attempt;
  call.awaits_caller = call.request.delivery == Delivery::kWait;
  if (replayed.ended) {
    call.phase = CallPhase::kEnded;
    call.outcome = std::move(replayed.ended->outcome);
    call.forget_at = replayed.ended->forget_at;
    call.answered = true;
    Rearm(context, call);
    return;
  }
  // Attempts of idempotent calls leave no record.
  if (IsIdempotent(call)) call.seen = Verdict::kMayHaveRun;
  if (replayed.open) {
    call.seen = Verdict::kMayHaveRun;  // Until the workers have spoken.
    call.open = std::move(replayed.open);
  }
  Rearm(context, call);
}

void Recovery::TakeReport(Context& context, const WorkerReported& report) {
  context.workers.MarkReported(report.worker, report.leaving);
  reports_[report.worker] = report.tasks;
}

void Recovery::TakeWord(const TaskUpdate& word) {
  if (words_.size() < kMaxKeptWords) words_.push_back(word);
}

void Recovery::LoseWorker(Context& context, WorkerId worker) {
  context.workers.MarkLapsed(worker);
  reports_.erase(worker);
}

void Recovery::TryFinish(Context& context) {
  const bool time_is_up = context.now.steady >= deadline_;
  if (context.workers.AllReported() || time_is_up) Finish(context);
}

/// Offers a call for which no worker reported a run.
void Recovery::Offer(Context& context, Call& call) {
  const bool submitted_here = call.accepted.value > 0;
  const bool known_earlier = context.earlier_attempts.contains(call.request.id);
  if (submitted_here && !known_earlier && context.workers.AllReported()) {
    call.seen = Verdict::kNotRun;
  }
  if (!call.enqueue_at && !context.handing_over) OfferAgain(context, call);
}

std::map<CallId, Recovery::Tasks> Recovery::TakeTasks(const Context& context) {
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
  std::map<CallId, Tasks> tasks = TakeTasks(context);
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (call.phase != CallPhase::kWaiting || !call.open) continue;
    ResumeOpen(context, call, tasks[id]);
    tasks.erase(id);
  }
  for (const auto& [id, found] : tasks) ResumeFound(context, id, found);
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (call.phase == CallPhase::kWaiting) Offer(context, call);
  }
  for (const TaskUpdate& word : std::exchange(words_, {})) {
    cell::TakeWord(context, word);
  }
}

void Recovery::ResumeOpen(Context& context, Call& call, const Tasks& tasks) {
  const scheduling::Placement placement = *std::exchange(call.open, {});
  call.seen = Verdict::kNotRun;  // Earlier attempts are known not to have run.
  std::vector<GangPart> parts;
  for (const scheduling::Allocation& allocation : placement.parts) {
    const TaskRef ref{call.request.id, call.attempt, allocation.worker};
    GangPart part = ResumedPart(context, allocation, FindTask(tasks, ref));
    const bool occupies =
        !HasEnded(part) && context.workers.IsFree(part.allocation);
    if (occupies) call.placement.parts.push_back(part.allocation);
    parts.push_back(part);
  }
  for (const ReportedTask& task : tasks) {
    if (task.task.attempt != call.attempt) Discard(context, task);
  }
  const CallId id = call.request.id;
  if (!call.placement.parts.empty()) {
    context.workers.Occupy(id, call.placement);
    context.scheduler.Adopt(ToJob(call), call.placement, context.now.steady);
  }
  call.run.emplace(id, call.attempt, GangPhase::kReleased, std::move(parts));
  call.phase = CallPhase::kActive;
  call.run->Advance(context.now.steady, context.effects);
  Settle(context, call);
}

void Recovery::ResumeFound(Context& context, const CallId& id,
                           const Tasks& tasks) {
  Call* call = context.calls.Find(id);
  const bool runs_here =
      call == nullptr ||
      (IsIdempotent(*call) && call->phase == CallPhase::kWaiting);
  Attempt latest;
  for (const ReportedTask& task : tasks) {
    latest = std::max(latest, task.task.attempt);
  }
  Tasks gang;
  for (const ReportedTask& task : tasks) {
    if (runs_here && task.task.attempt == latest) {
      gang.push_back(task);
    } else {
      Discard(context, task);
    }
  }
  std::sort(gang.begin(), gang.end(),
            [](const ReportedTask& a, const ReportedTask& b) {
              return a.rank < b.rank;
            });
  if (runs_here && !KeepOrphan(context, gang)) {
    for (const ReportedTask& task : gang) Discard(context, task);
  }
  if (call == nullptr) {
    NoteEarlierAttempt(context, id, latest);
  } else if (runs_here) {
    call->attempt = std::max(call->attempt, latest);
    call->seen = Verdict::kMayHaveRun;
    NoteEarlierAttempt(context, id, latest);
    AdoptOrphan(context, *call);
  }
}

}  // namespace jasminespar::cell
