#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// A poll waits this long for a run to end; workers allow no more.
constexpr Duration kPollWaitTimeout = 2s;

/// The same for a worker that leaves at a known time: how far its runs are
/// decides about them.
constexpr Duration kDepartingPollWait = 250ms;

/// Between polls of a worker that runs nothing.
constexpr Duration kIdlePollInterval = 2s;

/// Between polls of a worker with ended runs that cannot be handled or
/// acknowledged yet. A poll that waits for an end would return immediately.
constexpr Duration kUnacknowledgedPollInterval = 400ms;

/// Before the next poll after an unanswered one.
constexpr Duration kPollRetryDelay = 150ms;

/// A worker without an answer for this long is silent and gets no new work.
constexpr Duration kSilenceTimeout = 1500ms;

constexpr std::uint32_t kMaxPollsInFlight = 2;

/// @return how long a poll of the worker waits for a run to end.
Duration PollWaitOf(const WorkerState& worker) {
  return worker.departs_at ? kDepartingPollWait : kPollWaitTimeout;
}

/// @return time from a report of the worker until the next poll.
Duration PollIntervalOf(const WorkerState& worker) {
  if (worker.has_unhandled_ends) return kUnacknowledgedPollInterval;
  const bool unacknowledged = worker.processed_to > worker.acknowledged_to;
  const bool may_acknowledge =
      worker.processed_to == worker.durable_to && worker.AcknowledgeTo() > 0;
  if (unacknowledged && !may_acknowledge) return kUnacknowledgedPollInterval;
  return worker.placed_runs.empty() ? kIdlePollInterval : Duration{};
}

}  // namespace

void Dispatcher::Impl::PollWorkers(const Now& now) {
  for (auto& [name, worker] : workers_) {
    const bool useful =
        worker.listed && services_.contains(worker.entry.service);
    const bool needed =
        useful || !worker.placed_runs.empty() || !worker.reconciled;
    if (!needed) continue;
    const bool uncommitted = worker.processed_to != worker.durable_to;
    if (worker.polls_in_flight == 0 && now.steady >= worker.next_poll) {
      const bool at_once =
          !worker.clock || worker.placed_runs.empty() || uncommitted;
      SendPoll(worker, at_once ? Duration{} : PollWaitOf(worker), now);
    } else if (worker.poll_soon && worker.polls_in_flight < kMaxPollsInFlight) {
      SendPoll(worker, Duration{}, now);
    }
  }
}

void Dispatcher::Impl::SendPoll(WorkerState& worker, Duration wait,
                                const Now& now) {
  worker.poll_soon = false;
  ++worker.polls_in_flight;
  PendingOrder pending;
  pending.acknowledge_to = worker.AcknowledgeTo();
  const PollWorker poll{pending.acknowledge_to, wait};
  Send(worker, std::move(pending), poll, now);
}

void Dispatcher::Impl::HandleUnansweredPoll(WorkerState& worker,
                                            const Now& now) {
  worker.next_poll = now.steady + kPollRetryDelay;
  worker.poll_unanswered = true;
  if (worker.silent || now.steady - worker.last_answer < kSilenceTimeout)
    return;
  worker.silent = true;
  LogWorkerDecision(DecisionKind::kWorkerSilent, worker.entry.name,
                    now.steady - worker.last_answer);
}

void Dispatcher::Impl::HandleReport(WorkerState& worker,
                                    const PendingOrder& poll,
                                    const WorkerReport& report,
                                    const Now& now) {
  if (!worker.reports.IsNewer(poll.number, report)) {
    // What it says is older than what is known. It may also be of an unknown
    // process, so the worker is polled again.
    worker.poll_soon = true;
    LogWorkerDecision(DecisionKind::kReportOvertaken, worker.entry.name,
                      now.steady - poll.sent_at);
    return;
  }
  worker.reports.Record(poll.number, report, poll.sent_at,
                        OrderNumber{last_order_});
  if (worker.silent) {
    worker.silent = false;
    LogWorkerDecision(DecisionKind::kWorkerResponding, worker.entry.name,
                      now.steady - worker.last_answer);
  }
  worker.last_answer = now.steady;
  worker.poll_unanswered = false;
  if (!worker.reconciled) {
    // The worker refuses orders of earlier owners from now on.
    worker.lease.Limit(LeaseExpiryBound(settings_.max_lease, now.steady),
                       LeaseBasis::kFirstReport);
  }
  HandleIncarnation(worker, report.incarnation, now);
  if (worker.reports.IsForKnownProcess(poll.number)) {
    worker.acknowledged_to =
        std::max(worker.acknowledged_to, poll.acknowledge_to);
  }
  if (!worker.clock || report.clock > *worker.clock) {
    worker.clock = report.clock;
    worker.clock_at = now.steady;
  }
  if (report.leaving) worker.leaving = true;
  NoteTimeLeft(
      worker,
      report.time_left ? report.time_left : TimeLeftOf(worker, report.clock),
      now);
  const bool all_ends_handled = HandleListedEnds(worker, report, now);
  for (const ListedRun& run : report.runs) HandleListedRun(worker, run, now);
  if (all_ends_handled) {
    worker.reconciled = true;
  } else {
    LogWorkerDecision(DecisionKind::kReportPartial, worker.entry.name, {});
  }
  // A run that is missing from an incomplete report may exist, or its end may
  // not be listed or handled yet.
  if (report.complete && all_ends_handled) {
    RemoveUnlistedRuns(worker, poll, report, now);
  }
  worker.next_poll = now.steady + PollIntervalOf(worker);
}

bool Dispatcher::Impl::HandleListedEnds(WorkerState& worker,
                                        const WorkerReport& report,
                                        const Now& now) {
  worker.has_unhandled_ends = false;
  for (const EndedRun& end : report.ends) {
    if (end.number <= worker.processed_to) continue;
    // Acknowledged for an unknown job, the end would be lost if the job comes.
    if (!AreEarlierJobsKnown() && FindJob(end.task.job) == nullptr) {
      worker.has_unhandled_ends = true;
      return false;
    }
    HandleRunEnd(worker, end, now);
    // Only now: an end whose handling failed is handled again.
    worker.processed_to = end.number;
  }
  return !report.more_ends;
}

void Dispatcher::Impl::HandleIncarnation(WorkerState& worker,
                                         Incarnation incarnation,
                                         const Now& now) {
  if (worker.incarnation == incarnation) return;
  if (worker.clock) {
    LogWorkerDecision(DecisionKind::kWorkerRestarted, worker.entry.name,
                      now.steady - worker.last_answer);
  }
  worker.incarnation = incarnation;
  worker.clock.reset();
  worker.processed_to = 0;
  worker.committing_to = 0;
  worker.durable_to = 0;
  worker.acknowledged_to = 0;
  worker.failures_in_row = 0;
  ForgetPace(worker);
  for (auto& [name, placed] : worker.placed_runs) {
    // The new process may be given a run that the earlier one has stopped.
    placed.in_known_process = false;
    placed.stop_confirmed_at.reset();
    worker.has_open_orders = true;
  }
}

void Dispatcher::Impl::HandleListedRun(WorkerState& worker,
                                       const ListedRun& listed,
                                       const Now& now) {
  const auto found = worker.placed_runs.find(listed.task);
  if (found == worker.placed_runs.end()) {
    AdoptRun(worker, listed, now);
    return;
  }
  PlacedRun& placed = found->second;
  if (placed.run != listed.run) {
    ReportContradiction(Contradiction::kSecondRun, worker, listed.task,
                        listed.run, now);
    return;
  }
  placed.incarnation = worker.incarnation;
  placed.in_known_process = true;
  if (!placed.confirmed_at) {
    HandleConfirmedRun(worker, listed.task, listed.run, now);
  }
  ObserveProgress(worker, listed, placed, now);
  placed.track.Record(listed.percent, now.steady);
  NoteProgress(placed, listed, now.steady);
}

void Dispatcher::Impl::RemoveUnlistedRuns(WorkerState& worker,
                                          const PendingOrder& poll,
                                          const WorkerReport& report,
                                          const Now& now) {
  std::set<TaskName> listed;
  for (const ListedRun& run : report.runs) listed.insert(run.task);
  std::vector<TaskName> gone;
  for (const auto& [name, placed] : worker.placed_runs) {
    if (listed.contains(name)) continue;
    const bool never_started =
        placed.stop_confirmed_at && *placed.stop_confirmed_at < poll.sent_at;
    const bool restarted = placed.incarnation != report.incarnation &&
                           placed.confirmed_at &&
                           *placed.confirmed_at < poll.sent_at;
    if (never_started || restarted) gone.push_back(name);
  }
  for (const TaskName& name : gone) {
    const bool restarted =
        worker.placed_runs.at(name).incarnation != report.incarnation;
    HandleLostRun(
        worker, name,
        restarted ? DecisionCause::kNewIncarnation : DecisionCause::kUnanswered,
        now);
  }
}

void Dispatcher::Impl::ExpireLeases(const Now& now) {
  for (auto& [name, worker] : workers_) {
    if (now.steady < worker.lease.expires_at) continue;
    if (!worker.reconciled && loaded_) {
      worker.reconciled = true;
      ConcludeOver(worker, {}, {}, DecisionCause::kLeaseExpired, now);
    }
    if (!worker.silent) continue;
    while (!worker.placed_runs.empty()) {
      const TaskName task = worker.placed_runs.begin()->first;
      HandleLostRun(worker, task, DecisionCause::kLeaseExpired, now);
    }
  }
}

}  // namespace jasminespar::jobs
