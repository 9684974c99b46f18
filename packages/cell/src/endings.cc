#include "endings.h"

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

/// @return whether the outcome stays true whatever becomes of its record.
bool IsCertain(const Outcome& outcome) {
  const Refusal* refusal = std::get_if<Refusal>(&outcome);
  return refusal != nullptr && refusal->verdict == Verdict::kMayHaveRun;
}

/// @return what may be said of an outcome that a later owner may not know.
/// Without the record, a later owner may run a call that was not run.
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
  for (const TaskRef& task : std::exchange(call.results, {})) {
    context.effects.emplace_back(ForgetTask{task});
  }
}

}  // namespace

void End(Context& context, Call& call, Outcome outcome) {
  Require(!call.outcome && call.phase != CallPhase::kEnded,
          "a call ends exactly once");
  Require(!call.enqueued, "an ended call waits for no accelerators");
  const bool answer_is_early = std::holds_alternative<Answer>(outcome) &&
                               (!call.run || !call.run->ended());
  Require(!answer_is_early, "an answer is given once the whole gang has ended");
  call.outcome = std::move(outcome);
  call.phase = CallPhase::kEnded;
  call.enqueue_at.reset();
  call.forget_at.milliseconds =
      context.now.wall.milliseconds +
      ToMilliseconds(context.settings.default_retention);
  const bool promised = IsPromised(call.request);
  call.ended = context.journal.Append(
      CallEnded{call.request.id, *call.outcome, call.forget_at}, promised,
      context.effects);
  context.journal.Await(call.ended, call.request.id);
  if (!promised) {
    call.answered = true;
    ReplyToAll(context, call, ToReply(*call.outcome));
  } else if (IsCertain(*call.outcome) && context.now.steady >= call.deadline) {
    ReplyToAll(context, call, ToReply(*call.outcome));
  }
  Rearm(context, call);
}

void EndRefused(Context& context, Call& call, Reason reason) {
  End(context, call, Refusal{reason, VerdictOf(call), {}, {}});
}

void ReplyIfDurable(Context& context, Call& call) {
  if (context.journal.IsDurable(call.accepted)) {
    for (const ReplyToken token :
         context.calls.TakeWaiters(call.accept_waiters)) {
      context.Reply(token, CallAcceptedReply{call.request.id});
    }
  }
  if (!call.outcome || !context.journal.IsDurable(call.ended)) return;
  call.answered = true;
  ReplyToAll(context, call, ToReply(*call.outcome));
  if (!call.run) ForgetResults(context, call);
}

void ReplyAtDeadline(Context& context, Call& call) {
  const Refusal refusal{
      Reason::kDeadlinePassed, CertainVerdict(call.outcome), {}, {}};
  for (const ReplyToken token :
       context.calls.TakeWaiters(call.accept_waiters)) {
    context.Reply(token, refusal);
  }
  if (call.outcome && !call.answered) ReplyToAll(context, call, refusal);
}

void ReplyToAll(Context& context, Call& call, const CallReply& reply) {
  for (const ReplyToken token :
       context.calls.TakeWaiters(call.outcome_waiters)) {
    context.Reply(token, reply);
  }
}

void KeepResults(Context& context, Call& call) {
  for (const GangPart& part : call.run->parts()) {
    // A worker goes on remembering what never started, so that a late order
    // is refused.
    if (part.lost || part.refused || !part.known) continue;
    if (*part.known == TaskState::kNeverStarted) continue;
    call.results.push_back(call.run->RefOf(part));
  }
  if (call.answered && context.journal.IsDurable(call.ended)) {
    ForgetResults(context, call);
  }
}

}  // namespace jasminespar::cell
