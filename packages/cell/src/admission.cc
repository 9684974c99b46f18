#include "admission.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "endings.h"
#include "gang_control.h"
#include "orphans.h"
#include "work_queue.h"

namespace jasminespar::cell {
namespace {

/// Retries at the next owner should not come before it can exist.
constexpr Duration kHandoverRetry = 250ms;
constexpr Duration kFullRetry = 1s;
constexpr Duration kStoreRetry = 1s;

void Refuse(Context& context, ReplyToken token, Reason reason, Verdict verdict,
            Duration retry_after = {}) {
  context.Reply(token, Refusal{reason, verdict, retry_after, {}});
}

/// Has the token wait for the outcome, or for the durable acceptance.
void Wait(Context& context, Call& call, ReplyToken token, Delivery delivery) {
  if (call.answered) {
    std::visit([&](const auto& outcome) { context.Reply(token, outcome); },
               *call.outcome);
    return;
  }
  context.calls.Register(token, call.request.id);
  const bool collects = delivery == Delivery::kCollect;
  (collects ? call.accept_waiters : call.outcome_waiters).push_back(token);
  ReplyIfDurable(context, call);
}

void Accept(Context& context, Call& call) {
  const bool urgent = IsPromised(call.request);
  call.accepted = context.journal.Append(
      CallAccepted{call.request, call.deadline_wall}, urgent, context.effects);
  if (urgent) context.journal.Await(call.accepted, call.request.id);
}

void Join(Context& context, Call& call, const SubmitCall& submit) {
  if (!IsSameRequest(call.request, submit.request)) {
    Refuse(context, submit.token, Reason::kKeyReused, Verdict::kNotRun);
    return;
  }
  const bool waits = call.phase == CallPhase::kWaiting;
  if (context.handing_over && waits) {
    Refuse(context, submit.token, Reason::kShuttingDown, Verdict::kMayHaveRun,
           kHandoverRetry);
    return;
  }
  const bool newly_promised = submit.request.delivery == Delivery::kCollect &&
                              !IsPromised(call.request) && !call.outcome;
  if (newly_promised && !context.store_available) {
    Refuse(context, submit.token, Reason::kStoreUnavailable,
           Verdict::kMayHaveRun, kStoreRetry);
    return;
  }
  if (newly_promised) {
    call.request.delivery = Delivery::kCollect;
    Accept(context, call);
  }
  if (std::exchange(call.awaits_caller, false) && waits &&
      !context.recovering) {
    OfferAgain(context, call);
  }
  Wait(context, call, submit.token, submit.request.delivery);
  Rearm(context, call);
}

/// @return what is known of runs of a call that is not in the table.
Verdict EarlierVerdict(const Context& context, const CallId& id) {
  const bool may_have_run =
      context.orphans.contains(id) || context.earlier_attempts.contains(id);
  return may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

/// @return why a call that is not known here is refused, or nothing.
std::optional<Refusal> RefusalOfNew(const Context& context,
                                    const CallRequest& request) {
  const ForgottenCall* forgotten = context.calls.FindForgotten(request.id);
  if (forgotten != nullptr) {
    return Refusal{Reason::kRetentionPassed, forgotten->verdict, {}, {}};
  }
  const Verdict earlier = EarlierVerdict(context, request.id);
  if (context.handing_over) {
    return Refusal{Reason::kShuttingDown, earlier, kHandoverRetry, {}};
  }
  if (context.calls.size() >= context.settings.max_live_calls) {
    return Refusal{Reason::kQueueFull, earlier, kFullRetry, {}};
  }
  if (!context.store_available && IsPromised(request)) {
    // A provisional owner has not read what earlier owners recorded.
    const bool journal_read = context.epoch.provisional == 0;
    return Refusal{Reason::kStoreUnavailable,
                   journal_read ? earlier : Verdict::kMayHaveRun,
                   kStoreRetry,
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
    call.seen = Verdict::kMayHaveRun;
  }
  if (const auto spent = context.spent_attempts.find(call.request.id);
      spent != context.spent_attempts.end()) {
    call.attempt = std::max(call.attempt, spent->second);
    context.spent_attempts.erase(spent);
  }
  // Until the workers have reported, an earlier owner may have run it.
  if (context.recovering && IsIdempotent(call)) {
    call.seen = Verdict::kMayHaveRun;
  }
  const bool joins_run = context.orphans.contains(call.request.id);
  if (!context.recovering && !joins_run) {
    if (std::optional<Refusal> refusal = Enqueue(context, call)) {
      context.calls.Erase(call.request.id);
      context.Reply(submit.token, *std::move(refusal));
      return;
    }
  }
  Accept(context, call);
  Wait(context, call, submit.token, delivery);
  if (joins_run) {
    AdoptOrphan(context, call);
  } else {
    Rearm(context, call);
  }
}

void Expire(Context& context, Call& call) {
  Withdraw(context, call);
  if (call.phase == CallPhase::kStarting) AbandonStart(context, call);
  EndRefused(context, call, Reason::kDeadlinePassed);
}

void WakeWaiting(Context& context, Call& call) {
  if (context.now.steady >= ExpiryOf(call)) {
    Expire(context, call);
  } else if (call.enqueue_at && *call.enqueue_at <= context.now.steady) {
    if (context.handing_over) {
      GiveBackWaiting(context);
    } else {
      OfferAgain(context, call);
    }
  } else {
    Rearm(context, call);
  }
}

void WakeActive(Context& context, Call& call) {
  if (context.now.steady >= call.deadline) {
    // The outcome goes out at once; the run keeps its accelerators until the
    // workers say that it has stopped.
    EndRefused(context, call, Reason::kDeadlinePassed);
    call.run->Stop(StopMode::kStop, Reason::kDeadlinePassed, context.now.steady,
                   context.effects);
    Settle(context, call);
  } else {
    WakeRun(context, call);
  }
}

void WakeEnded(Context& context, Call& call) {
  if (context.now.steady >= call.deadline) ReplyAtDeadline(context, call);
  if (call.run) {
    WakeRun(context, call);
    return;
  }
  const bool retained = context.now.wall < call.forget_at;
  if (call.answered && !retained && call.results.empty()) {
    const CallId id = call.request.id;
    context.timers.Set(id, std::nullopt);
    context.calls.Forget(
        id, context.now.steady + context.settings.default_retention);
    return;
  }
  Rearm(context, call);
}

/// @return whether the call waits for a record of a caller that can be told
///     that nothing ran: no worker has heard of it and none will.
bool IsUnrecorded(const Context& context, const Call& call) {
  const bool unordered =
      call.phase == CallPhase::kWaiting || call.phase == CallPhase::kStarting;
  return unordered && call.seen == Verdict::kNotRun && !IsIdempotent(call) &&
         call.request.delivery == Delivery::kWait && call.accepted.value > 0 &&
         !context.journal.IsDurable(call.accepted);
}

void RefuseUnrecordedCall(Context& context, Call& call) {
  Withdraw(context, call);
  if (call.phase == CallPhase::kStarting) AbandonStart(context, call);
  ReplyToAll(
      context, call,
      Refusal{Reason::kStoreUnavailable, Verdict::kNotRun, kStoreRetry, {}});
  const CallId id = call.request.id;
  if (call.attempt.value > 0) context.spent_attempts[id] = call.attempt;
  context.timers.Set(id, std::nullopt);
  context.calls.Erase(id);
}

void GiveBack(Context& context, Call& call) {
  Withdraw(context, call);
  call.enqueue_at.reset();
  const bool promised = IsPromised(call.request);
  ReplyToAll(context, call,
             Refusal{Reason::kShuttingDown,
                     promised ? Verdict::kMayHaveRun : VerdictOf(call),
                     kHandoverRetry,
                     {}});
  if (promised) {
    Rearm(context, call);
    return;
  }
  const CallId id = call.request.id;
  if (VerdictOf(call) != Verdict::kNotRun) {
    NoteEarlierAttempt(context, id, call.attempt);
  }
  context.timers.Set(id, std::nullopt);
  context.calls.Erase(id);
}

}  // namespace

void Submit(Context& context, SubmitCall submit) {
  if (Call* call = context.calls.Find(submit.request.id)) {
    Join(context, *call, submit);
  } else if (std::optional<Refusal> refusal =
                 RefusalOfNew(context, submit.request)) {
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
  Wait(context, *call, cancel.token, Delivery::kWait);
  if (call->phase == CallPhase::kEnded) {
    Rearm(context, *call);
    return;
  }
  call->cancelled = true;
  if (call->phase == CallPhase::kActive) {
    call->run->Stop(StopMode::kStop, Reason::kCancelled, context.now.steady,
                    context.effects);
    Settle(context, *call);
    return;
  }
  Withdraw(context, *call);
  if (call->phase == CallPhase::kStarting) AbandonStart(context, *call);
  EndRefused(context, *call, Reason::kCancelled);
}

void WakeCall(Context& context, Call& call) {
  if (context.now.steady >= call.deadline && !call.accept_waiters.empty()) {
    ReplyAtDeadline(context, call);
  }
  switch (call.phase) {
    case CallPhase::kWaiting:
      WakeWaiting(context, call);
      break;
    case CallPhase::kStarting:
      if (context.now.steady >= ExpiryOf(call)) {
        Expire(context, call);
      } else {
        Rearm(context, call);
      }
      break;
    case CallPhase::kActive:
      WakeActive(context, call);
      break;
    case CallPhase::kEnded:
      WakeEnded(context, call);
      break;
  }
}

void TakeDurable(Context& context, Call& call) {
  if (call.phase == CallPhase::kStarting &&
      context.journal.IsDurable(call.starting)) {
    OrderAttempt(context, call);
  }
  ReplyIfDurable(context, call);
  Rearm(context, call);
}

void RefuseUnrecorded(Context& context) {
  if (context.recovering) return;
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (IsUnrecorded(context, call)) RefuseUnrecordedCall(context, call);
  }
}

void GiveBackWaiting(Context& context) {
  for (const CallId& id : context.calls.Ids()) {
    Call& call = *context.calls.Find(id);
    if (call.phase == CallPhase::kWaiting) GiveBack(context, call);
  }
}

}  // namespace jasminespar::cell
