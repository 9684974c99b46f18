#include "gang_control.h"

#include <algorithm>
#include <utility>

#include "invariant.h"
#include "orphans.h"
#include "outcomes.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kInitialRetryDelay = 20ms;
constexpr std::uint32_t kMaxBackoffSteps = 6;

std::vector<GangMember> MembersOf(const scheduling::Placement& placement) {
  std::vector<GangMember> members;
  members.reserve(placement.parts.size());
  for (const scheduling::Allocation& allocation : placement.parts) {
    GangMember member;
    member.allocation = allocation;
    members.push_back(member);
  }
  return members;
}

void RecordResults(Context& context, const Call& call) {
  for (const GangMember& member : call.run->members()) {
    if (member.lost || member.refused || !member.last_state) continue;
    const TimePoint now = context.now.steady;
    const WorkerId worker = member.allocation.worker;
    if (*member.last_state == TaskState::kSucceeded) {
      context.scheduler.RecordResult(call.request.id, worker,
                                     scheduling::TaskResult::kSucceeded, now);
    } else if (*member.last_state == TaskState::kFailed) {
      context.scheduler.RecordResult(call.request.id, worker,
                                     scheduling::TaskResult::kFailed, now);
    }
  }
}

/// @return whether another attempt is allowed after this result.
bool MayRetry(const Context& context, const Call& call,
              const GangResult& result) {
  if (IsIdempotent(call) || result.verdict == Verdict::kNotRun) return true;
  return context.settings.mutation == Mutation::kRetryUnknownNonIdempotent;
}

/// Schedules another attempt, or ends the call after its last one.
void RetryOrEnd(Context& context, Call& call, const GangResult& result) {
  if (result.reason != Reason::kReclaimed) ++call.failed_attempts;
  if (context.scheduler.IsPoison(call.request.id)) {
    EndWithRefusal(context, call, Reason::kPoisonJob);
  } else if (call.failed_attempts >= context.settings.max_attempts) {
    EndWithRefusal(context, call, result.reason);
  } else {
    const std::uint32_t steps =
        std::min(call.failed_attempts, kMaxBackoffSteps);
    call.enqueue_at = context.now.steady + kInitialRetryDelay * (1U << steps);
    context.effects.emplace_back(CountRetry{result.reason});
    UpdateTimer(context, call);
  }
}

void HandleFailedRun(Context& context, Call& call) {
  const GangResult result = call.run->result();
  call.past_verdict = CombineVerdicts(call.past_verdict, result.verdict);
  RetainResults(context, call);
  FreeAccelerators(context, call);
  call.phase = CallPhase::kWaiting;
  if (!IsIdempotent(call) && result.verdict == Verdict::kNotRun) {
    context.journal.Append(AttemptNeverStarted{call.request.id, call.attempt},
                           false, context.effects);
  }
  if (call.cancelled) {
    EndWithRefusal(context, call, Reason::kCancelled);
  } else if (!MayRetry(context, call, result)) {
    EndWithRefusal(context, call, result.reason);
  } else {
    RetryOrEnd(context, call, result);
  }
}

/// Blocks new work on a worker whose refusal is not specific to one order.
void RestrictRefusingWorker(Context& context, const TaskOrderFailed& failure) {
  switch (failure.reason) {
    case Reason::kWorkerLeaving:
      context.workers.MarkLeaving(failure.task.worker);
      break;
    case Reason::kWorkerUnreachable:
    case Reason::kWorkerRefused:
    case Reason::kConnectionLimit:
      context.workers.Suspend(failure.task.worker, context.now.steady);
      break;
    default:
      break;
  }
}

}  // namespace

void StartAttempt(Context& context, const CallId& id,
                  const scheduling::Placement& placement) {
  Call* call = context.calls.Find(id);
  Require(call != nullptr && call->enqueued, "only a waiting call is started");
  call->enqueued = false;
  context.workers.Occupy(id, placement);
  call->placement = placement;
  ++call->attempt.value;
  call->phase = CallPhase::kStarting;
  if (IsIdempotent(*call)) {
    OrderAttempt(context, *call);
    return;
  }
  call->starting_sequence = context.journal.Append(
      AttemptStarting{id, call->attempt, placement}, true, context.effects);
  context.journal.Await(call->starting_sequence, id);
  if (context.settings.mutation == Mutation::kOrderBeforeDurable) {
    OrderAttempt(context, *call);
  } else {
    UpdateTimer(context, *call);
  }
}

void OrderAttempt(Context& context, Call& call) {
  const bool recorded = IsIdempotent(call) ||
                        context.journal.IsDurable(call.starting_sequence) ||
                        context.settings.mutation != Mutation::kNone;
  Require(recorded, "a non-idempotent attempt is recorded before its orders");
  OrderParameters parameters;
  parameters.cell = context.cell;
  parameters.epoch = context.epoch;
  parameters.hold = context.settings.hold;
  // After a worker restart, only a held task is known never to have run. A
  // non-idempotent call needs this certainty, so it always uses a hold.
  parameters.start_now = IsIdempotent(call) && call.placement.parts.size() == 1;
  call.run.emplace(call.request.id, call.attempt, GangPhase::kPreparing,
                   MembersOf(call.placement));
  call.run->set_mutation(context.settings.mutation);
  call.run->SendOrders(call.request, parameters, context.now.steady,
                       context.effects);
  call.phase = CallPhase::kActive;
  UpdateTimer(context, call);
}

void Reclaim(Context& context, const CallId& id) {
  Call* call = context.calls.Find(id);
  if (call == nullptr) {
    StopOrphan(context, id);
    return;
  }
  // Its record is not durable yet; the scheduler reclaims it later.
  if (!call->run) return;
  Require(IsIdempotent(*call), "only an idempotent call is reclaimed");
  call->run->Stop(StopMode::kCheckpoint, Reason::kReclaimed, context.now.steady,
                  context.effects);
  UpdateTimer(context, *call);
}

void AbandonStart(Context& context, Call& call) {
  Require(call.phase == CallPhase::kStarting && !call.run,
          "only an attempt that was not ordered is abandoned");
  context.journal.Append(AttemptNeverStarted{call.request.id, call.attempt},
                         false, context.effects);
  FreeAccelerators(context, call);
  call.phase = CallPhase::kWaiting;
}

void FinishRunIfEnded(Context& context, Call& call) {
  if (!call.run || !call.run->ended()) {
    UpdateTimer(context, call);
    return;
  }
  RecordResults(context, call);
  if (call.phase == CallPhase::kEnded) {
    RetainResults(context, call);
    FreeAccelerators(context, call);
    UpdateTimer(context, call);
    return;
  }
  if (std::optional<Answer> answer = call.run->result().answer) {
    EndCall(context, call, *std::move(answer));
    RetainResults(context, call);
    FreeAccelerators(context, call);
    UpdateTimer(context, call);
    return;
  }
  HandleFailedRun(context, call);
}

void HandleTaskUpdate(Context& context, const TaskUpdate& update) {
  const TimePoint now = context.now.steady;
  if (context.strays.Contains(update.task)) {
    context.strays.HandleUpdate(update, context.effects);
    context.workers.SetStrays(update.task.worker,
                              context.strays.HasAny(update.task.worker));
    return;
  }
  UpdateResult result = UpdateResult::kStale;
  if (Call* call = context.calls.Find(update.task.call)) {
    if (call->run) {
      result = call->run->ApplyUpdate(update, UpdateSource::kTask,
                                      context.epoch, now, context.effects);
    }
    if (result == UpdateResult::kApplied) FinishRunIfEnded(context, *call);
  } else {
    result = HandleOrphanUpdate(context, update, UpdateSource::kTask);
  }
  if (result == UpdateResult::kStale) {
    context.effects.emplace_back(CountStaleMessage{update.task});
  }
}

void HandleOrderFailure(Context& context, const TaskOrderFailed& failure) {
  RestrictRefusingWorker(context, failure);
  Call* call = context.calls.Find(failure.task.call);
  UpdateResult result = UpdateResult::kStale;
  if (call != nullptr && call->run) {
    result = call->run->HandleOrderFailure(failure, context.now.steady,
                                           context.effects);
    if (result == UpdateResult::kApplied) FinishRunIfEnded(context, *call);
  } else if (call == nullptr) {
    result = HandleOrphanOrderFailure(context, failure);
  }
  if (result == UpdateResult::kStale) {
    context.effects.emplace_back(CountStaleMessage{failure.task});
  }
}

bool ListsTaskOf(const WorkerReported& report, const GangRun& run) {
  return std::any_of(
      report.tasks.begin(), report.tasks.end(),
      [&](const ReportedTask& task) { return run.Contains(task.task); });
}

void HandleWorkerReport(Context& context, const WorkerReported& report) {
  const ReportOrder order = context.workers.HasReported(report.worker)
                                ? ReportOrder::kLater
                                : ReportOrder::kFirst;
  context.workers.MarkReported(report.worker, report.leaving);
  // Missing tasks free their accelerators before the reported tasks, which may
  // occupy the same ones, are handled.
  for (const CallId& id : context.workers.CallsOn(report.worker)) {
    Call* call = context.calls.Find(id);
    if (call == nullptr) {
      HandleUnlistedOrphanTask(context, id, report);
    } else if (call->run && !ListsTaskOf(report, *call->run)) {
      call->run->HandleUnlistedTask(report.worker, context.now.steady,
                                    context.effects);
      FinishRunIfEnded(context, *call);
    }
  }
  for (const ReportedTask& task : report.tasks) {
    if (task.cell == context.cell) HandleReportedTask(context, task, order);
  }
}

void HandleWorkerLost(Context& context, WorkerId worker) {
  context.workers.MarkLost(worker);
  context.strays.RemoveWorker(worker);
  context.workers.SetStrays(worker, false);
  for (const CallId& id : context.workers.CallsOn(worker)) {
    if (Call* call = context.calls.Find(id)) {
      if (!call->run) continue;
      call->run->HandleWorkerLost(worker, context.now.steady, context.effects);
      FinishRunIfEnded(context, *call);
    } else {
      HandleOrphanWorkerLost(context, id, worker);
    }
  }
}

void HandleRunTimer(Context& context, Call& call) {
  call.run->HandleTimer(context.now.steady, context.effects);
  FinishRunIfEnded(context, call);
}

}  // namespace jasminespar::cell
