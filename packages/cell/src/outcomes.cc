#include "outcomes.h"

#include <utility>
#include <variant>

#include "invariant.h"
#include "jasminespar/core/overloaded.h"

namespace jasminespar::cell {
namespace {

CallReply ToReply(const Outcome& outcome) {
  return std::visit([](const auto& result) { return CallReply(result); },
                    outcome);
}

/// @return whether the outcome stays true even if its record is lost.
bool IsCertain(const Outcome& outcome) {
  const Refusal* refusal = std::get_if<Refusal>(&outcome);
  return refusal != nullptr && refusal->verdict == Verdict::kMayHaveRun;
}

/// @return the verdict that is certain while the outcome's record is not
///     durable: a later owner without the record may run a call that has not
///     run.
Verdict CertainVerdict(const std::optional<Outcome>& outcome) {
  if (!outcome) return Verdict::kMayHaveRun;
  return std::visit(Overloaded{[](const Answer&) { return Verdict::kRan; },
                               [](const Refusal& refusal) {
                                 return CombineVerdicts(refusal.verdict,
                                                        Verdict::kMayHaveRun);
                               }},
                    *outcome);
}

void ForgetResults(Context& context, Call& call) {
  for (const TaskRef& task : std::exchange(call.kept_results, {})) {
    context.effects.emplace_back(ForgetTask{task});
  }
}

}  // namespace

void EndCall(Context& context, Call& call, Outcome outcome) {
  Require(!call.outcome && call.phase != CallPhase::kEnded,
          "a call ends exactly once");
  Require(!call.enqueued, "an ended call waits for no accelerators");
  const bool answer_is_early = std::holds_alternative<Answer>(outcome) &&
                               (!call.run || !call.run->ended());
  Require(!answer_is_early, "an answer is sent once the whole gang has ended");
  call.outcome = std::move(outcome);
  call.phase = CallPhase::kEnded;
  call.enqueue_at.reset();
  call.forget_at.milliseconds =
      context.now.wall.milliseconds +
      ToMilliseconds(context.settings.default_retention);
  const bool requires_durability = RequiresDurability(call.request);
  call.ended_sequence = context.journal.Append(
      CallEnded{call.request.id, *call.outcome, call.forget_at},
      requires_durability, context.effects);
  context.journal.Await(call.ended_sequence, call.request.id);
  if (!requires_durability) {
    call.answered = true;
    ReplyToOutcomeWaiters(context, call, ToReply(*call.outcome));
  } else if (IsCertain(*call.outcome) && context.now.steady >= call.deadline) {
    ReplyToOutcomeWaiters(context, call, ToReply(*call.outcome));
  }
  UpdateTimer(context, call);
}

void EndWithRefusal(Context& context, Call& call, Reason reason) {
  EndCall(context, call, Refusal{reason, VerdictOf(call), {}, {}});
}

void ReplyIfDurable(Context& context, Call& call) {
  if (context.journal.IsDurable(call.accepted_sequence)) {
    for (const ReplyToken token :
         context.calls.TakeWaiters(call.accept_waiters)) {
      context.Reply(token, CallAcceptedReply{call.request.id});
    }
  }
  if (!call.outcome || !context.journal.IsDurable(call.ended_sequence)) return;
  call.answered = true;
  ReplyToOutcomeWaiters(context, call, ToReply(*call.outcome));
  if (!call.run) ForgetResults(context, call);
}

void ReplyAtDeadline(Context& context, Call& call) {
  const Refusal refusal{
      Reason::kDeadlinePassed, CertainVerdict(call.outcome), {}, {}};
  for (const ReplyToken token :
       context.calls.TakeWaiters(call.accept_waiters)) {
    context.Reply(token, refusal);
  }
  if (call.outcome && !call.answered) {
    ReplyToOutcomeWaiters(context, call, refusal);
  }
}

void ReplyToOutcomeWaiters(Context& context, Call& call,
                           const CallReply& reply) {
  for (const ReplyToken token :
       context.calls.TakeWaiters(call.outcome_waiters)) {
    context.Reply(token, reply);
  }
}

void RetainResults(Context& context, Call& call) {
  for (const GangMember& member : call.run->members()) {
    // A worker keeps the state of a task that never started, so that it refuses
    // a late order.
    if (member.lost || member.refused || !member.last_state) continue;
    if (*member.last_state == TaskState::kNeverStarted) continue;
    call.kept_results.push_back(call.run->RefOf(member));
  }
  if (call.answered && context.journal.IsDurable(call.ended_sequence)) {
    ForgetResults(context, call);
  }
}

}  // namespace jasminespar::cell
