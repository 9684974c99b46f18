#include "admission.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "gang_control.h"
#include "orphans.h"
#include "outcomes.h"
#include "work_queue.h"

namespace jasminespar::cell {
namespace {

/// Gives the next owner time to claim the cell before the caller retries.
constexpr Duration kHandoverRetryDelay = 250ms;
constexpr Duration kQueueFullRetryDelay = 1s;
constexpr Duration kStoreRetryDelay = 1s;

void Refuse(Context& context, ReplyToken token, Reason reason, Verdict verdict,
            Duration retry_after = {}) {
  context.Reply(token, Refusal{reason, verdict, retry_after, {}});
}

/// Replies with the outcome, or registers the token to wait for the outcome or
/// for the durable acceptance.
void AddWaiter(Context& context, Call& call, ReplyToken token,
               Delivery delivery) {
  if (call.answered) {
    std::visit([&](const auto& outcome) { context.Reply(token, outcome); },
               *call.outcome);
    return;
  }
  context.calls.RegisterWaiter(token, call.request.id);
  const bool collects = delivery == Delivery::kCollect;
  (collects ? call.accept_waiters : call.outcome_waiters).push_back(token);
  ReplyIfDurable(context, call);
}

void AppendAcceptance(Context& context, Call& call) {
  const bool urgent = RequiresDurability(call.request);
  call.accepted_sequence = context.journal.Append(
      CallAccepted{call.request, call.deadline_wall}, urgent, context.effects);
  if (urgent) context.journal.Await(call.accepted_sequence, call.request.id);
}

void JoinCall(Context& context, Call& call, const SubmitCall& submit) {
  if (!IsSameRequest(call.request, submit.request)) {
    Refuse(context, submit.token, Reason::kKeyReused, Verdict::kNotRun);
    return;
  }
  const bool waits = call.phase == CallPhase::kWaiting;
  if (context.handing_over && waits) {
    Refuse(context, submit.token, Reason::kShuttingDown, Verdict::kMayHaveRun,
           kHandoverRetryDelay);
    return;
  }
  const bool becomes_durable = submit.request.delivery == Delivery::kCollect &&
                               !RequiresDurability(call.request) &&
                               !call.outcome;
  if (becomes_durable && !context.store_available) {
    Refuse(context, submit.token, Reason::kStoreUnavailable,
           Verdict::kMayHaveRun, kStoreRetryDelay);
    return;
  }
  if (becomes_durable) {
    call.request.delivery = Delivery::kCollect;
    AppendAcceptance(context, call);
  }
  if (std::exchange(call.awaits_resubmission, false) && waits &&
      !context.recovering) {
    EnqueueOrRetry(context, call);
  }
  AddWaiter(context, call, submit.token, submit.request.delivery);
  UpdateTimer(context, call);
}

/// @return what is known about earlier runs of a call that is not in the table.
Verdict EarlierVerdict(const Context& context, const CallId& id) {
  const bool may_have_run =
      context.orphans.contains(id) || context.earlier_attempts.contains(id);
  return may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

/// @return why a call that is not in the table is refused, or nothing.
std::optional<Refusal> RefusalOfNewCall(const Context& context,
                                        const CallRequest& request) {
  const ForgottenCall* forgotten = context.calls.FindForgotten(request.id);
  if (forgotten != nullptr) {
    return Refusal{Reason::kRetentionPassed, forgotten->verdict, {}, {}};
  }
  const Verdict earlier = EarlierVerdict(context, request.id);
  if (context.handing_over) {
    return Refusal{Reason::kShuttingDown, earlier, kHandoverRetryDelay, {}};
  }
  if (context.calls.size() >= context.settings.max_live_calls) {
    return Refusal{Reason::kQueueFull, earlier, kQueueFullRetryDelay, {}};
  }
  if (!context.store_available && RequiresDurability(request)) {
    // A provisional owner has not read what earlier owners recorded.
    const bool journal_read = context.epoch.provisional == 0;
    return Refusal{Reason::kStoreUnavailable,
                   journal_read ? earlier : Verdict::kMayHaveRun,
                   kStoreRetryDelay,
                   {}};
  }
  const bool ran_as_idempotent =
      request.idempotence == Idempotence::kNonIdempotent &&
      earlier != Verdict::kNotRun;
  if (ran_as_idempotent) return Refusal{Reason::kKeyReused, earlier, {}, {}};
  return std::nullopt;
}

void Admit(Context& context, SubmitCall submit) {
  const Now now = context.now;
  const Delivery delivery = submit.request.delivery;
  Call& call = context.calls.Insert(std::move(submit.request));
  call.arrival = now.steady;
  call.deadline = now.steady + call.request.time_left;
  call.deadline_wall.milliseconds =
      now.wall.milliseconds + ToMilliseconds(call.request.time_left);
  const auto earlier = context.earlier_attempts.find(call.request.id);
  if (earlier != context.earlier_attempts.end()) {
    call.attempt = earlier->second;
    call.past_verdict = Verdict::kMayHaveRun;
  }
  if (const auto abandoned = context.abandoned_attempts.find(call.request.id);
      abandoned != context.abandoned_attempts.end()) {
    call.attempt = std::max(call.attempt, abandoned->second);
    context.abandoned_attempts.erase(abandoned);
  }
  // An earlier owner may have run it; unknown until the workers have reported.
  if (context.recovering && IsIdempotent(call)) {
    call.past_verdict = Verdict::kMayHaveRun;
  }
  const bool joins_run = context.orphans.contains(call.request.id);
  if (!context.recovering && !joins_run) {
    if (std::optional<Refusal> refusal = Enqueue(context, call)) {
      context.calls.Erase(call.request.id);
      context.Reply(submit.token, *std::move(refusal));
      return;
    }
  }
  AppendAcceptance(context, call);
  AddWaiter(context, call, submit.token, delivery);
  if (joins_run) {
    AdoptOrphan(context, call);
  } else {
    UpdateTimer(context, call);
  }
}

void Expire(Context& context, Call& call) {
  Dequeue(context, call);
  if (call.phase == CallPhase::kStarting) AbandonStart(context, call);
  EndWithRefusal(context, call, Reason::kDeadlinePassed);
}

void HandleWaitingTimer(Context& context, Call& call) {
  if (context.now.steady >= ExpiryOf(call)) {
    Expire(context, call);
  } else if (call.enqueue_at && *call.enqueue_at <= context.now.steady) {
    if (context.handing_over) {
      RefuseWaitingCalls(context);
    } else {
      EnqueueOrRetry(context, call);
    }
  } else {
    UpdateTimer(context, call);
  }
}

void HandleActiveTimer(Context& context, Call& call) {
  if (context.now.steady >= call.deadline) {
    // The outcome is sent at once; the run keeps its accelerators until the
    // workers confirm that it has stopped.
    EndWithRefusal(context, call, Reason::kDeadlinePassed);
    call.run->Stop(StopMode::kStop, Reason::kDeadlinePassed, context.now.steady,
                   context.effects);
    FinishRunIfEnded(context, call);
  } else {
    HandleRunTimer(context, call);
  }
}

void HandleEndedTimer(Context& context, Call& call) {
  if (context.now.steady >= call.deadline) ReplyAtDeadline(context, call);
  if (call.run) {
    HandleRunTimer(context, call);
    return;
  }
  const bool retained = context.now.wall < call.forget_at;
  if (call.answered && !retained && call.kept_results.empty()) {
    const CallId id = call.request.id;
    context.timers.Set(id, std::nullopt);
    context.calls.Forget(
        id, context.now.steady + context.settings.default_retention);
    return;
  }
  UpdateTimer(context, call);
}

/// @return whether a non-idempotent call still waits for the durability of its
///     acceptance and kNotRun is certain: no order was sent to a worker, and
///     none will be.
bool IsUnrecorded(const Context& context, const Call& call) {
  const bool unordered =
      call.phase == CallPhase::kWaiting || call.phase == CallPhase::kStarting;
  return unordered && call.past_verdict == Verdict::kNotRun &&
         !IsIdempotent(call) && call.request.delivery == Delivery::kWait &&
         call.accepted_sequence.value > 0 &&
         !context.journal.IsDurable(call.accepted_sequence);
}

void RefuseUnrecordedCall(Context& context, Call& call) {
  Dequeue(context, call);
  if (call.phase == CallPhase::kStarting) AbandonStart(context, call);
  ReplyToOutcomeWaiters(
      context, call,
      Refusal{
          Reason::kStoreUnavailable, Verdict::kNotRun, kStoreRetryDelay, {}});
  const CallId id = call.request.id;
  if (call.attempt.value > 0) context.abandoned_attempts[id] = call.attempt;
  context.timers.Set(id, std::nullopt);
  context.calls.Erase(id);
}

void RefuseWaitingCall(Context& context, Call& call) {
  Dequeue(context, call);
  call.enqueue_at.reset();
  const bool requires_durability = RequiresDurability(call.request);
  ReplyToOutcomeWaiters(
      context, call,
      Refusal{Reason::kShuttingDown,
              requires_durability ? Verdict::kMayHaveRun : VerdictOf(call),
              kHandoverRetryDelay,
              {}});
  if (requires_durability) {
    UpdateTimer(context, call);
    return;
  }
  const CallId id = call.request.id;
  if (VerdictOf(call) != Verdict::kNotRun) {
    RecordEarlierAttempt(context, id, call.attempt);
  }
  context.timers.Set(id, std::nullopt);
  context.calls.Erase(id);
}

}  // namespace

void Submit(Context& context, SubmitCall submit) {
  if (Call* call = context.calls.Find(submit.request.id)) {
    JoinCall(context, *call, submit);
  } else if (std::optional<Refusal> refusal =
                 RefusalOfNewCall(context, submit.request)) {
    context.Reply(submit.token, *std::move(refusal));
  } else {
    Admit(context, std::move(submit));
  }
}

void LookUp(Context& context, const LookUpCall& look_up) {
  const Call* call = context.calls.Find(look_up.id);
  if (call != nullptr && call->request.key.account == look_up.account) {
    if (call->answered) {
      std::visit(
          [&](const auto& outcome) { context.Reply(look_up.token, outcome); },
          *call->outcome);
      return;
    }
    CallStatus status{look_up.id, StateOf(*call), call->attempt, {}};
    if (call->enqueued) {
      status.explanation =
          context.scheduler.Explain(look_up.id, context.now.steady)
              .value_or(std::string{});
    }
    context.Reply(look_up.token, std::move(status));
    return;
  }
  const ForgottenCall* forgotten = context.calls.FindForgotten(look_up.id);
  if (forgotten != nullptr && forgotten->account == look_up.account) {
    Refuse(context, look_up.token, Reason::kRetentionPassed,
           forgotten->verdict);
    return;
  }
  // An unknown call may have run under an earlier owner.
  Refuse(context, look_up.token, Reason::kNotFound, Verdict::kMayHaveRun);
}

void Cancel(Context& context, const CancelCall& cancel) {
  Call* call = context.calls.Find(cancel.id);
  if (call == nullptr || call->request.key.account != cancel.account) {
    LookUp(context, LookUpCall{cancel.token, cancel.id, cancel.account});
    return;
  }
  AddWaiter(context, *call, cancel.token, Delivery::kWait);
  if (call->phase == CallPhase::kEnded) {
    UpdateTimer(context, *call);
    return;
  }
  call->cancelled = true;
  if (call->phase == CallPhase::kActive) {
    call->run->Stop(StopMode::kStop, Reason::kCancelled, context.now.steady,
                    context.effects);
    FinishRunIfEnded(context, *call);
    return;
  }
  Dequeue(context, *call);
  if (call->phase == CallPhase::kStarting) AbandonStart(context, *call);
  EndWithRefusal(context, *call, Reason::kCancelled);
}

void HandleCallTimer(Context& context, Call& call) {
  if (context.now.steady >= call.deadline && !call.accept_waiters.empty()) {
    ReplyAtDeadline(context, call);
  }
  switch (call.phase) {
    case CallPhase::kWaiting:
      HandleWaitingTimer(context, call);
      break;
    case CallPhase::kStarting:
      if (context.now.steady >= ExpiryOf(call)) {
        Expire(context, call);
      } else {
        UpdateTimer(context, call);
      }
      break;
    case CallPhase::kActive:
      HandleActiveTimer(context, call);
      break;
    case CallPhase::kEnded:
      HandleEndedTimer(context, call);
      break;
  }
}

void HandleDurableRecord(Context& context, Call& call) {
  if (call.phase == CallPhase::kStarting &&
      context.journal.IsDurable(call.starting_sequence)) {
    OrderAttempt(context, call);
  }
  ReplyIfDurable(context, call);
  UpdateTimer(context, call);
}

void RefuseUnrecordedCalls(Context& context) {
  if (context.recovering) return;
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (IsUnrecorded(context, call)) RefuseUnrecordedCall(context, call);
  }
}

void RefuseWaitingCalls(Context& context) {
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (call.phase == CallPhase::kWaiting) RefuseWaitingCall(context, call);
  }
}

}  // namespace jasminespar::cell
