#include "work_queue.h"

#include <utility>
#include <variant>
#include <vector>

#include "gang_control.h"
#include "invariant.h"
#include "jasminespar/core/overloaded.h"
#include "outcomes.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kEnqueueRetryInterval = 250ms;

/// @return whether the scheduler may accept the job later. It was admitted
///     once, so a lack of room or of workers is temporary.
bool IsTransient(Reason reason) { return reason != Reason::kPoisonJob; }

void EndDroppedCall(Context& context, const scheduling::DropJob& drop) {
  Call* call = context.calls.Find(drop.id);
  Require(call != nullptr && call->enqueued, "only a waiting job is dropped");
  call->enqueued = false;
  Refusal refusal = drop.refusal;
  refusal.verdict = CombineVerdicts(refusal.verdict, VerdictOf(*call));
  EndCall(context, *call, std::move(refusal));
}

}  // namespace

std::optional<Refusal> Enqueue(Context& context, Call& call) {
  Require(call.phase == CallPhase::kWaiting && !call.enqueued,
          "only a waiting call is enqueued, once");
  std::optional<Refusal> refusal =
      context.scheduler.Enqueue(ToJob(call), context.now.steady);
  if (refusal) {
    refusal->verdict = CombineVerdicts(refusal->verdict, VerdictOf(call));
    return refusal;
  }
  call.enqueued = true;
  call.enqueue_at.reset();
  context.decision_due = true;
  return std::nullopt;
}

void EnqueueOrRetry(Context& context, Call& call) {
  call.enqueue_at.reset();
  if (call.awaits_resubmission) {
    UpdateTimer(context, call);
    return;
  }
  std::optional<Refusal> refusal = Enqueue(context, call);
  if (refusal && !IsTransient(refusal->reason)) {
    EndCall(context, call, *std::move(refusal));
    return;
  }
  if (refusal) call.enqueue_at = context.now.steady + kEnqueueRetryInterval;
  UpdateTimer(context, call);
}

void Dequeue(Context& context, Call& call) {
  if (!call.enqueued) return;
  const bool waited = context.scheduler.Remove(call.request.id);
  Require(waited, "an enqueued call waits in the scheduler");
  call.enqueued = false;
  context.decision_due = true;
}

void RunScheduler(Context& context) {
  if (context.recovering) return;
  const TimePoint now = context.now.steady;
  if (auto usable = context.workers.TakeSchedulableTopology(now)) {
    context.scheduler.ApplyTopology(*std::move(usable), now);
    context.decision_due = true;
  }
  if (context.handing_over) return;
  const Overloaded perform{
      [&](const scheduling::StartGang& start) {
        StartAttempt(context, start.id, start.placement);
      },
      [&](const scheduling::ReclaimGang& reclaim) {
        Reclaim(context, reclaim.id);
      },
      [&](const scheduling::DropJob& drop) { EndDroppedCall(context, drop); }};
  while (std::exchange(context.decision_due, false)) {
    const std::vector<scheduling::Action> actions =
        context.scheduler.Decide(now);
    for (const scheduling::Action& action : actions) {
      std::visit(perform, action);
    }
  }
}

}  // namespace jasminespar::cell
