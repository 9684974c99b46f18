#include "context.h"

#include <algorithm>

namespace jasminespar::cell {
namespace {

TimePoint ToSteadyTime(WallTime wall, Now now) {
  return now.steady +
         std::chrono::milliseconds(wall.milliseconds - now.wall.milliseconds);
}

std::optional<TimePoint> NextTimer(const Context& context, const Call& call) {
  switch (call.phase) {
    case CallPhase::kWaiting:
      return Earlier(ExpiryOf(call), call.enqueue_at);
    case CallPhase::kStarting:
      return ExpiryOf(call);
    case CallPhase::kActive:
      return Earlier(call.deadline, call.run->next_timer());
    case CallPhase::kEnded:
      break;
  }
  std::optional<TimePoint> next;
  if (!call.answered && !call.outcome_waiters.empty()) next = call.deadline;
  if (call.run) return Earlier(next, call.run->next_timer());
  // After the record is durable, workers drop the results; then the call is
  // removed at the end of its retention.
  if (call.answered && call.kept_results.empty())
    next = ToSteadyTime(call.forget_at, context.now);
  return next;
}

}  // namespace

void UpdateTimer(Context& context, const Call& call) {
  CheckCall(call);
  std::optional<TimePoint> next = NextTimer(context, call);
  // Callers that wait for the acceptance are refused at the deadline too.
  if (!call.accept_waiters.empty()) next = Earlier(next, call.deadline);
  context.timers.Set(call.request.id, next);
}

void RecordEarlierAttempt(Context& context, const CallId& id, Attempt attempt) {
  auto& attempts = context.earlier_attempts;
  const auto found = attempts.find(id);
  if (found != attempts.end()) {
    found->second = std::max(found->second, attempt);
  } else if (attempts.size() < context.settings.max_live_calls) {
    attempts.emplace(id, attempt);
  }
}

scheduling::Job ToJob(const Call& call) {
  scheduling::Job job;
  job.id = call.request.id;
  job.account = call.request.key.account;
  job.service = call.request.key.service;
  job.priority = call.request.priority;
  job.gang = call.request.gang;
  job.reclaimable = IsIdempotent(call);
  job.arrival = call.arrival;
  job.deadline = call.deadline;
  job.declared_run_time = call.request.declared_run_time;
  return job;
}

void FreeAccelerators(Context& context, Call& call) {
  call.run.reset();
  if (call.placement.parts.empty()) return;
  context.workers.Free(call.request.id, call.placement);
  context.scheduler.Release(call.request.id, context.now.steady);
  call.placement = {};
  context.decision_due = true;
}

}  // namespace jasminespar::cell
