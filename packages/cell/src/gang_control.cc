#include "gang_control.h"

#include <algorithm>
#include <utility>

#include "endings.h"
#include "invariant.h"
#include "orphans.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kFirstRetry = 20ms;
constexpr std::uint32_t kMaxRetrySteps = 6;

std::vector<GangPart> PartsOf(const scheduling::Placement& placement) {
  std::vector<GangPart> parts;
  parts.reserve(placement.parts.size());
  for (const scheduling::Allocation& allocation : placement.parts) {
    GangPart part;
    part.allocation = allocation;
    parts.push_back(part);
  }
  return parts;
}

void RecordResults(Context& context, const Call& call) {
  for (const GangPart& part : call.run->parts()) {
    if (part.lost || part.refused || !part.known) continue;
    const TimePoint now = context.now.steady;
    const WorkerId worker = part.allocation.worker;
    if (*part.known == TaskState::kSucceeded) {
      context.scheduler.RecordResult(call.request.id, worker,
                                     scheduling::TaskResult::kSucceeded, now);
    } else if (*part.known == TaskState::kFailed) {
      context.scheduler.RecordResult(call.request.id, worker,
                                     scheduling::TaskResult::kFailed, now);
    }
  }
}

/// @return whether another attempt is allowed after one that ended so.
bool MayRunAgain(const Context& context, const Call& call,
                 const GangResult& result) {
  if (IsIdempotent(call) || result.verdict == Verdict::kNotRun) return true;
  return context.settings.mutation == Mutation::kRetryUnknownNonIdempotent;
}

/// Sends the call back to wait, or ends it when it had its attempts.
void RunAgain(Context& context, Call& call, const GangResult& result) {
  if (result.reason != Reason::kReclaimed) ++call.failed_attempts;
  if (context.scheduler.IsPoison(call.request.id)) {
    EndRefused(context, call, Reason::kPoisonJob);
  } else if (call.failed_attempts >= context.settings.max_attempts) {
    EndRefused(context, call, result.reason);
  } else {
    const std::uint32_t steps = std::min(call.failed_attempts, kMaxRetrySteps);
    call.enqueue_at = context.now.steady + kFirstRetry * (1U << steps);
    context.effects.emplace_back(CountRetry{result.reason});
    Rearm(context, call);
  }
}

void SettleFailure(Context& context, Call& call) {
  const GangResult result = call.run->result();
  call.seen = CombineVerdicts(call.seen, result.verdict);
  KeepResults(context, call);
  Vacate(context, call);
  call.phase = CallPhase::kWaiting;
  if (!IsIdempotent(call) && result.verdict == Verdict::kNotRun) {
    context.journal.Append(AttemptNeverStarted{call.request.id, call.attempt},
                           false, context.effects);
  }
  if (call.cancelled) {
    EndRefused(context, call, Reason::kCancelled);
  } else if (!MayRunAgain(context, call, result)) {
    EndRefused(context, call, result.reason);
  } else {
    RunAgain(context, call, result);
  }
}

/// Suspends a worker whose refusal concerns all work, not one order.
void NoteWorkerTrouble(Context& context, const TaskOrderFailed& failure) {
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
  call->starting = context.journal.Append(
      AttemptStarting{id, call->attempt, placement}, true, context.effects);
  context.journal.Await(call->starting, id);
  if (context.settings.mutation == Mutation::kOrderBeforeDurable) {
    OrderAttempt(context, *call);
  } else {
    Rearm(context, *call);
  }
}

void OrderAttempt(Context& context, Call& call) {
  const bool recorded = IsIdempotent(call) ||
                        context.journal.IsDurable(call.starting) ||
                        context.settings.mutation != Mutation::kNone;
  Require(recorded, "a non-idempotent attempt is recorded before its orders");
  OrderTerms terms;
  terms.cell = context.cell;
  terms.epoch = context.epoch;
  terms.hold = context.settings.hold;
  // Only a held task can be known never to have run when its worker restarts,
  // and a non-idempotent call needs to know.
  terms.start_now = IsIdempotent(call) && call.placement.parts.size() == 1;
  call.run.emplace(call.request.id, call.attempt, GangPhase::kPreparing,
                   PartsOf(call.placement));
  call.run->set_mutation(context.settings.mutation);
  call.run->Order(call.request, terms, context.now.steady, context.effects);
  call.phase = CallPhase::kActive;
  Rearm(context, call);
}

void Reclaim(Context& context, const CallId& id) {
  Call* call = context.calls.Find(id);
  if (call == nullptr) {
    StopOrphan(context, id);
    return;
  }
  if (!call->run) return;  // Its record is on the way; it is reclaimed later.
  Require(IsIdempotent(*call), "only an idempotent call is reclaimed");
  call->run->Stop(StopMode::kCheckpoint, Reason::kReclaimed, context.now.steady,
                  context.effects);
  Rearm(context, *call);
}

void AbandonStart(Context& context, Call& call) {
  Require(call.phase == CallPhase::kStarting && !call.run,
          "only an attempt that was not ordered is abandoned");
  context.journal.Append(AttemptNeverStarted{call.request.id, call.attempt},
                         false, context.effects);
  Vacate(context, call);
  call.phase = CallPhase::kWaiting;
}

void Settle(Context& context, Call& call) {
  if (!call.run || !call.run->ended()) {
    Rearm(context, call);
    return;
  }
  RecordResults(context, call);
  if (call.phase == CallPhase::kEnded) {
    KeepResults(context, call);
    Vacate(context, call);
    Rearm(context, call);
    return;
  }
  if (std::optional<Answer> answer = call.run->result().answer) {
    End(context, call, *std::move(answer));
    KeepResults(context, call);
    Vacate(context, call);
    Rearm(context, call);
    return;
  }
  SettleFailure(context, call);
}

void TakeWord(Context& context, const TaskChanged& word) {
  const TimePoint now = context.now.steady;
  if (context.strays.Contains(word.task)) {
    context.strays.Take(word, context.effects);
    context.workers.SetStrays(word.task.worker,
                              context.strays.HasAny(word.task.worker));
    return;
  }
  WordEffect effect = WordEffect::kStale;
  if (Call* call = context.calls.Find(word.task.call)) {
    if (call->run) {
      effect = call->run->Take(word, WordSource::kTask, context.epoch, now,
                               context.effects);
    }
    if (effect == WordEffect::kTaken) Settle(context, *call);
  } else {
    effect = TakeOrphanWord(context, word, WordSource::kTask);
  }
  if (effect == WordEffect::kStale) {
    context.effects.emplace_back(CountStale{word.task});
  }
}

void TakeFailure(Context& context, const TaskOrderFailed& failure) {
  NoteWorkerTrouble(context, failure);
  Call* call = context.calls.Find(failure.task.call);
  WordEffect effect = WordEffect::kStale;
  if (call != nullptr && call->run) {
    effect =
        call->run->TakeFailure(failure, context.now.steady, context.effects);
    if (effect == WordEffect::kTaken) Settle(context, *call);
  } else if (call == nullptr) {
    effect = TakeOrphanFailure(context, failure);
  }
  if (effect == WordEffect::kStale) {
    context.effects.emplace_back(CountStale{failure.task});
  }
}

bool Lists(const WorkerReported& report, const GangRun& run) {
  return std::any_of(
      report.tasks.begin(), report.tasks.end(),
      [&](const ReportedTask& task) { return run.Contains(task.task); });
}

void TakeReport(Context& context, const WorkerReported& report) {
  const ReportOrder order = context.workers.HasReported(report.worker)
                                ? ReportOrder::kLater
                                : ReportOrder::kFirst;
  context.workers.MarkReported(report.worker, report.leaving);
  // Parts that are missing give their accelerators back before others that
  // the worker does have are looked at.
  for (const CallId& id : context.workers.CallsOn(report.worker)) {
    Call* call = context.calls.Find(id);
    if (call == nullptr) {
      MissOrphanPart(context, id, report);
    } else if (call->run && !Lists(report, *call->run)) {
      call->run->MissPart(report.worker, context.now.steady, context.effects);
      Settle(context, *call);
    }
  }
  for (const ReportedTask& task : report.tasks) {
    if (task.cell == context.cell) TakeReportedTask(context, task, order);
  }
}

void LoseWorker(Context& context, WorkerId worker) {
  context.workers.MarkLapsed(worker);
  context.strays.LoseWorker(worker);
  context.workers.SetStrays(worker, false);
  for (const CallId& id : context.workers.CallsOn(worker)) {
    if (Call* call = context.calls.Find(id)) {
      if (!call->run) continue;
      call->run->LoseWorker(worker, context.now.steady, context.effects);
      Settle(context, *call);
    } else {
      LoseOrphanWorker(context, id, worker);
    }
  }
}

void WakeRun(Context& context, Call& call) {
  call.run->Wake(context.now.steady, context.effects);
  Settle(context, call);
}

}  // namespace jasminespar::cell
