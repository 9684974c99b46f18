#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// After this many unanswered start orders the run is stopped.
constexpr std::uint32_t kMaxStartAttempts = 3;

constexpr Duration kStartRetryDelay = 30ms;
constexpr Duration kStopRetryDelay = 200ms;

/// A worker that refused an order gets no new work for this long.
constexpr Duration kRefusalQuarantine = 1s;

}  // namespace

bool Dispatcher::Impl::RenewsLease(const WorkerState& worker,
                                   PendingOrder::Kind kind) {
  // The lease of a worker that does not answer must expire, so that its tasks
  // can start elsewhere.
  if (worker.silent) return false;
  // If the worker may have started again, its clock is not known.
  if (worker.reports.in_doubt()) return false;
  switch (kind) {
    case PendingOrder::Kind::kStart:
      return true;
    case PendingOrder::Kind::kStop:
      return false;
    case PendingOrder::Kind::kPoll:
      // What lasts cannot wait until the worker counts as silent.
      return !worker.poll_unanswered || !worker.HasLastingRun();
  }
  return false;
}

void Dispatcher::Impl::Send(WorkerState& worker, PendingOrder pending,
                            WorkerOrder what, const Now& now) {
  const OrderNumber number{++last_order_};
  pending.number = number;
  pending.worker = worker.entry.name;
  pending.sent_at = now.steady;
  const Duration lease = LeaseOf(worker, settings_.max_lease);
  const WorkerClock until = RenewsLease(worker, pending.kind)
                                ? LeaseUntil(worker, lease, now.steady)
                                : WorkerClock{};
  if (until.value != 0) {
    worker.lease.Renew(LeaseExpiryBound(lease, now.steady), now.steady);
  }
  const TimePoint send_by =
      pending.kind == PendingOrder::Kind::kStart
          ? std::min(worker_list_as_of_ + kMaxWorkerListAge,
                     evacuations_.KnownUntil())
          : TimePoint::max();
  orders_.emplace(number, std::move(pending));
  effects_.emplace_back(SendOrder{number, worker.entry.name, worker.entry.host,
                                  worker.entry.port, until, send_by,
                                  std::move(what)});
}

void Dispatcher::Impl::SendStart(WorkerState& worker, const TaskName& name,
                                 PlacedRun& placed, const Now& now) {
  JobState* job = FindJob(name.job);
  if (job == nullptr) return;
  ++placed.start_attempts;
  placed.in_flight = true;
  PendingOrder pending;
  pending.kind = PendingOrder::Kind::kStart;
  pending.task = name;
  pending.run = placed.run;
  Send(worker, std::move(pending),
       StartRun{name, placed.run, job->payload, placed.start_checkpoint}, now);
}

void Dispatcher::Impl::SendStop(WorkerState& worker, const TaskName& name,
                                PlacedRun& placed, const Now& now) {
  placed.in_flight = true;
  PendingOrder pending;
  pending.kind = PendingOrder::Kind::kStop;
  pending.task = name;
  pending.run = placed.run;
  Send(worker, std::move(pending), StopRun{name, placed.run}, now);
}

void Dispatcher::Impl::HandleAcceptedStart(WorkerState& worker,
                                           const PendingOrder& order,
                                           WorkerClock clock, const Now& now) {
  worker.last_answer = now.steady;
  const auto found = worker.placed_runs.find(order.task);
  if (found == worker.placed_runs.end() || found->second.run != order.run)
    return;
  if (worker.reports.IsForKnownProcess(order.number) &&
      worker.reports.IsSameProcess(clock, now.steady)) {
    found->second.in_known_process = true;
  }
  HandleConfirmedRun(worker, order.task, order.run, now);
}

void Dispatcher::Impl::HandleConfirmedRun(WorkerState& worker,
                                          const TaskName& name, RunNumber run,
                                          const Now& now) {
  const auto found = worker.placed_runs.find(name);
  if (found == worker.placed_runs.end() || found->second.run != run) return;
  PlacedRun& placed = found->second;
  if (!placed.confirmed_at) placed.confirmed_at = now.steady;
  placed.progressed_at = now.steady;
  if (placed.phase != PlacedRunPhase::kStarting) return;
  placed.in_flight = false;
  placed.phase = PlacedRunPhase::kRunning;
  // Poll now, to wait for the run's end: the next poll of an idle worker may be
  // seconds away.
  worker.next_poll = std::min(worker.next_poll, now.steady);
  JobState* job = FindJob(name.job);
  if (job == nullptr) return;
  StepOf(*job, name).last_confirmed_at = now.steady;
  if (job->phase != JobPhase::kQueued) return;
  job->phase = JobPhase::kRunning;
  job->status_dirty = true;
  MarkDirty(*job, 0);
}

void Dispatcher::Impl::HandleRefusedStart(WorkerState& worker,
                                          const PendingOrder& order,
                                          OrderRefusal refusal,
                                          const Now& now) {
  LogRunDecision(DecisionKind::kOrderRefused, DecisionCause::kNone, order.task,
                 order.worker, order.run,
                 RowOf(kOrderRefusalNames, refusal).name,
                 now.steady - order.sent_at);
  const auto found = worker.placed_runs.find(order.task);
  if (found == worker.placed_runs.end() || found->second.run != order.run)
    return;
  PlacedRun& placed = found->second;
  worker.quarantined_until =
      std::max(worker.quarantined_until, now.steady + kRefusalQuarantine);
  worker.poll_soon = true;
  if (placed.phase == PlacedRunPhase::kStarting) placed.in_flight = false;
  // An earlier start was carried out; this one was a repetition.
  if (placed.confirmed_at) return;
  if (placed.start_attempts > 1) {
    // An earlier start may still be carried out.
    BeginStop(worker, order.task, placed, DecisionCause::kUnanswered, now);
    return;
  }
  HandleLostRun(worker, order.task, DecisionCause::kRefused, now);
}

void Dispatcher::Impl::HandleUnansweredStart(WorkerState& worker,
                                             const PendingOrder& order,
                                             const Now& now) {
  LogRunDecision(DecisionKind::kOrderUnanswered, DecisionCause::kNone,
                 order.task, order.worker, order.run, "start",
                 now.steady - order.sent_at);
  worker.poll_soon = true;
  const auto found = worker.placed_runs.find(order.task);
  if (found == worker.placed_runs.end() || found->second.run != order.run)
    return;
  PlacedRun& placed = found->second;
  if (placed.phase != PlacedRunPhase::kStarting) return;
  placed.in_flight = false;
  if (placed.start_attempts < kMaxStartAttempts) {
    placed.retry_at = now.steady + kStartRetryDelay;
  } else {
    BeginStop(worker, order.task, placed, DecisionCause::kUnanswered, now);
  }
}

void Dispatcher::Impl::HandleExpiredOrder(WorkerState& worker,
                                          const PendingOrder& order,
                                          const Now& now) {
  if (order.kind == PendingOrder::Kind::kPoll) {
    worker.next_poll = std::min(worker.next_poll, now.steady);
    return;
  }
  const auto found = worker.placed_runs.find(order.task);
  if (found == worker.placed_runs.end() || found->second.run != order.run)
    return;
  PlacedRun& placed = found->second;
  placed.in_flight = false;
  placed.retry_at = now.steady;  // Of a stop.
  if (placed.phase != PlacedRunPhase::kStarting) return;
  if (placed.start_attempts == 1) {
    HandleLostRun(worker, order.task, DecisionCause::kExpired, now);
  } else {
    // An earlier attempt may still be carried out.
    BeginStop(worker, order.task, placed, DecisionCause::kExpired, now);
  }
}

void Dispatcher::Impl::HandleStopAnswer(WorkerState& worker,
                                        const PendingOrder& order,
                                        bool accepted, const Now& now) {
  const auto found = worker.placed_runs.find(order.task);
  if (found == worker.placed_runs.end() || found->second.run != order.run)
    return;
  PlacedRun& placed = found->second;
  placed.in_flight = false;
  if (accepted && !worker.reports.IsForKnownProcess(order.number)) {
    placed.retry_at = now.steady;  // An earlier process may have accepted it.
    return;
  }
  if (accepted) {
    worker.last_answer = now.steady;
    placed.stop_confirmed_at = now.steady;
    if (!placed.confirmed_at) worker.poll_soon = true;
    return;
  }
  LogRunDecision(DecisionKind::kOrderUnanswered, DecisionCause::kNone,
                 order.task, order.worker, order.run, "stop",
                 now.steady - order.sent_at);
  placed.retry_at = now.steady + kStopRetryDelay;
}

void Dispatcher::Impl::RetryOrders(WorkerState& worker, const Now& now) {
  // Polls show when it answers again, and which process does.
  if (worker.silent || worker.reports.in_doubt()) return;
  if (!worker.has_open_orders) return;
  worker.has_open_orders = std::any_of(
      worker.placed_runs.begin(), worker.placed_runs.end(),
      [](const auto& entry) { return entry.second.HasOpenOrder(); });
  for (auto& [name, placed] : worker.placed_runs) {
    if (placed.in_flight || now.steady < placed.retry_at) continue;
    const bool gets_starts =
        worker.listed && !worker.leaving && !worker.emptied;
    if (placed.phase == PlacedRunPhase::kStarting && gets_starts) {
      SendStart(worker, name, placed, now);
    } else if (placed.phase == PlacedRunPhase::kStarting) {
      // It began to leave or was emptied since; the first start may still be
      // carried out.
      BeginStop(worker, name, placed, DecisionCause::kUnanswered, now);
    } else if (placed.phase == PlacedRunPhase::kStopping &&
               !placed.stop_confirmed_at) {
      SendStop(worker, name, placed, now);
    }
  }
}

}  // namespace jasminespar::jobs
