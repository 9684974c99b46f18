#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// A start is sent this often before its run is given up and stopped.
constexpr std::uint32_t kMaxStartSends = 3;

constexpr Duration kStartRetryDelay = 30ms;
constexpr Duration kStopRetryDelay = 200ms;

/// A worker that turned an order away is left alone for this long.
constexpr Duration kUnhealthyPause = 1s;

}  // namespace

void Dispatcher::Impl::Send(WorkerState& worker, PendingOrder pending,
                            WorkerOrder what, const Now& now) {
  const OrderNumber number{++last_order_};
  pending.worker = worker.entry.name;
  pending.sent_at = now.steady;
  // A stop grants nothing. Nor does anything that a silent worker is sent: what
  // it runs must end some time, so that it can start elsewhere.
  const bool grants =
      pending.kind != PendingOrder::Kind::kStop && !worker.silent;
  const WorkerClock until =
      grants ? LeaseUntil(worker, settings_.max_lease, now.steady)
             : WorkerClock{};
  if (until.value != 0) {
    worker.lease_over_at = std::max(
        worker.lease_over_at, LeaseOverAt(settings_.max_lease, now.steady));
  }
  orders_.emplace(number, std::move(pending));
  effects_.emplace_back(SendOrder{number, worker.entry.name, worker.entry.host,
                                  worker.entry.port, until, std::move(what)});
}

void Dispatcher::Impl::SendStart(WorkerState& worker, const TaskName& name,
                                 Hold& hold, const Now& now) {
  JobState* job = FindJob(name.job);
  if (job == nullptr) return;
  ++hold.sends;
  hold.in_flight = true;
  PendingOrder pending;
  pending.kind = PendingOrder::Kind::kStart;
  pending.task = name;
  pending.run = hold.run;
  Send(worker, std::move(pending),
       StartRun{name, hold.run, job->payload, hold.start_checkpoint}, now);
}

void Dispatcher::Impl::SendStop(WorkerState& worker, const TaskName& name,
                                Hold& hold, const Now& now) {
  hold.in_flight = true;
  PendingOrder pending;
  pending.kind = PendingOrder::Kind::kStop;
  pending.task = name;
  pending.run = hold.run;
  Send(worker, std::move(pending), StopRun{name, hold.run}, now);
}

void Dispatcher::Impl::StartAccepted(WorkerState& worker,
                                     const PendingOrder& order,
                                     const Now& now) {
  worker.last_answer = now.steady;
  const auto found = worker.holds.find(order.task);
  if (found == worker.holds.end() || found->second.run != order.run) return;
  Hold& hold = found->second;
  if (!hold.confirmed_at) hold.confirmed_at = now.steady;
  hold.progressed_at = now.steady;
  if (hold.phase != HoldPhase::kStarting) return;
  hold.in_flight = false;
  hold.phase = HoldPhase::kRunning;
  // The look that waits for its end; an idle worker's next one may be far off.
  worker.next_look = std::min(worker.next_look, now.steady);
  JobState* job = FindJob(order.task.job);
  if (job == nullptr || job->phase != JobPhase::kQueued) return;
  job->phase = JobPhase::kRunning;
  job->status_dirty = true;
  Touch(*job);
}

void Dispatcher::Impl::StartRefused(WorkerState& worker,
                                    const PendingOrder& order,
                                    OrderRefusal refusal, const Now& now) {
  NoteRun(DecisionKind::kOrderRefused, DecisionCause::kNone, order.task,
          order.worker, order.run, RowOf(kOrderRefusalNames, refusal).name,
          now.steady - order.sent_at);
  const auto found = worker.holds.find(order.task);
  if (found == worker.holds.end() || found->second.run != order.run) return;
  Hold& hold = found->second;
  worker.quarantined_until =
      std::max(worker.quarantined_until, now.steady + kUnhealthyPause);
  worker.look_soon = true;
  if (hold.phase == HoldPhase::kStarting) hold.in_flight = false;
  if (hold.sends > 1) {  // An earlier sending may still be carried out.
    BeginStop(worker, order.task, hold, DecisionCause::kUnanswered, now);
    return;
  }
  DropHold(worker, order.task, DecisionCause::kRefused, now);
}

void Dispatcher::Impl::StartUnanswered(WorkerState& worker,
                                       const PendingOrder& order,
                                       const Now& now) {
  NoteRun(DecisionKind::kOrderUnanswered, DecisionCause::kNone, order.task,
          order.worker, order.run, "start", now.steady - order.sent_at);
  worker.look_soon = true;
  const auto found = worker.holds.find(order.task);
  if (found == worker.holds.end() || found->second.run != order.run) return;
  Hold& hold = found->second;
  if (hold.phase != HoldPhase::kStarting) return;
  hold.in_flight = false;
  if (hold.sends < kMaxStartSends) {
    hold.retry_at = now.steady + kStartRetryDelay;
  } else {
    BeginStop(worker, order.task, hold, DecisionCause::kUnanswered, now);
  }
}

void Dispatcher::Impl::StopEnded(WorkerState& worker, const PendingOrder& order,
                                 bool accepted, const Now& now) {
  const auto found = worker.holds.find(order.task);
  if (found == worker.holds.end() || found->second.run != order.run) return;
  Hold& hold = found->second;
  hold.in_flight = false;
  if (accepted) {
    worker.last_answer = now.steady;
    hold.stop_confirmed_at = now.steady;
    if (!hold.confirmed_at) worker.look_soon = true;
    return;
  }
  NoteRun(DecisionKind::kOrderUnanswered, DecisionCause::kNone, order.task,
          order.worker, order.run, "stop", now.steady - order.sent_at);
  hold.retry_at = now.steady + kStopRetryDelay;
}

void Dispatcher::Impl::RetryOrders(WorkerState& worker, const Now& now) {
  if (worker.silent) return;  // Looks show when it can be reached again.
  for (auto& [name, hold] : worker.holds) {
    if (hold.in_flight || now.steady < hold.retry_at) continue;
    if (hold.phase == HoldPhase::kStarting) {
      SendStart(worker, name, hold, now);
    } else if (hold.phase == HoldPhase::kStopping && !hold.stop_confirmed_at) {
      SendStop(worker, name, hold, now);
    }
  }
}

}  // namespace jasminespar::jobs
