#include "jasminespar/jobs/dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// A stage of each decision.
struct DecisionStage {
  DispatcherStage stage;
  bool needs_load;  ///< It is left out until the cell is loaded.
};

/// In the order in which a decision runs them.
constexpr std::array kDecisionStages{
    DecisionStage{DispatcherStage::kLeases, false},
    DecisionStage{DispatcherStage::kPlans, false},
    DecisionStage{DispatcherStage::kPolls, true},
    DecisionStage{DispatcherStage::kOrders, true},
    DecisionStage{DispatcherStage::kStalledRuns, true},
    DecisionStage{DispatcherStage::kDepartures, true},
    DecisionStage{DispatcherStage::kGangs, true},
    DecisionStage{DispatcherStage::kStarts, true},
    DecisionStage{DispatcherStage::kRetention, false},
    DecisionStage{DispatcherStage::kCommit, false},
};

}  // namespace

void Dispatcher::Impl::FinishLoading(TimePoint now) {
  loaded_ = true;
  loaded_at_ = now;
  for (auto& [name, worker] : workers_) {
    worker.lease = {
        LeaseExpiryBound(settings_.max_lease + predecessors_.renew, now),
        LeaseBasis::kPredecessors, std::nullopt};
    worker.used_before = worker.enrolled;
    if (!worker.enrolled) worker.reconciled = true;  // It never got an order.
  }
  for (auto& [id, job] : jobs_) job.may_have_unlisted_runs = true;
}

void Dispatcher::Impl::Handle(DispatcherInput input, const Now& now) {
  Attempt(DispatcherStage::kInput, std::nullopt, [&] {
    std::visit([&](auto& message) { On(std::move(message), now); }, input);
  });
}

void Dispatcher::Impl::Decide(Authority authority, const Now& now) {
  if (authority == Authority::kNone) return;
  for (const DecisionStage& each : kDecisionStages) {
    if (each.needs_load && !loaded_) continue;
    Attempt(each.stage, std::nullopt,
            [&] { RunStage(each.stage, authority, now); });
  }
}

bool Dispatcher::Impl::MayStartTasks(Authority authority,
                                     const Now& now) const {
  return authority == Authority::kFull &&
         now.steady - worker_list_as_of_ < kMaxWorkerListAge &&
         now.steady < evacuations_.KnownUntil();
}

void Dispatcher::Impl::On(JobLoaded found, const Now& now) {
  const JobId id = found.job.id;
  if (jobs_.contains(id)) return;
  try {
    jobs_.emplace(id, MakeJobState(std::move(found), now));
  } catch (const std::exception& error) {
    // It cannot be held in memory. Nothing else has changed.
    effects_.emplace_back(
        StageFailed{DispatcherStage::kInput, id, error.what()});
    return;
  }
  JobState& job = jobs_.at(id);
  if (!job.live()) {
    AdoptReportedRuns(job, now);
    return;
  }
  live_.insert(id);
  UpdateQueue(job);
  services_.insert(job.queue.service);
  if (cancelled_early_.erase(id) > 0) {
    EndJob(job, JobPhase::kCancelled, now);
    return;
  }
  LogJobDecision(DecisionKind::kJobLoaded, job, job.queue.name.value, now);
  // An earlier owner that does not know yet that it lost the cell may have
  // loaded and started the job as well.
  job.may_have_unlisted_runs = !AreEarlierJobsKnown();
  AdoptReportedRuns(job, now);
}

void Dispatcher::Impl::On(const JobCancelled& cancelled, const Now& now) {
  JobState* job = FindJob(cancelled.job);
  if (job == nullptr) {
    // Jobs and cancellations are read separately, and either may be behind; or
    // the job's acceptance is still under way.
    cancelled_early_.try_emplace(cancelled.job,
                                 EarlyCancellation{now.steady, std::nullopt});
    StopRunsOf(cancelled.job, now);
    return;
  }
  if (!job->live()) return;
  LogJobDecision(DecisionKind::kJobCancelled, *job, "", now);
  EndJob(*job, JobPhase::kCancelled, now);
}

void Dispatcher::Impl::On(WorkerListed listed, const Now& now) {
  const auto [found, added] = workers_.try_emplace(listed.entry.name);
  WorkerState& worker = found->second;
  if (added && loaded_) worker.reconciled = true;
  const bool leaving = listed.entry.leaving;
  if (leaving && !worker.leaving) {
    LogWorkerDecision(DecisionKind::kWorkerLeaving, listed.entry.name, {});
  }
  if (!leaving) worker.departs_at.reset();
  NoteEntry(worker, listed.entry);
  const Incarnation incarnation = listed.entry.incarnation;
  const bool restarted = worker.clock &&
                         incarnation != worker.entry.incarnation &&
                         incarnation != worker.incarnation;
  const bool said_anew = listed.entry.time_left != worker.entry.time_left;
  worker.entry = std::move(listed.entry);
  if (restarted) {
    // Only a report shows what became of the runs of the previous process.
    worker.reports.Doubt(OrderNumber{last_order_});
    worker.poll_soon = true;
  }
  worker.listed = true;
  worker.leaving = leaving;
  if (said_anew) NoteTimeLeft(worker, worker.entry.time_left, now);
  worker.emptied = evacuations_.IsEmptied(worker.entry.data_centre);
  if (evacuations_.in_use()) {
    worker.cold_until = now.steady + worker.entry.cold_for;
  }
}

void Dispatcher::Impl::On(const WorkerUnlisted& unlisted, const Now& now) {
  const auto found = workers_.find(unlisted.name);
  if (found == workers_.end()) return;
  WorkerState& worker = found->second;
  worker.listed = false;
  if (unlisted.cause == UnlistedCause::kDeleted) NoteDeletedEntry(worker, now);
}

void Dispatcher::Impl::On(const WorkerListConfirmed& confirmed, const Now&) {
  worker_list_as_of_ = std::max(worker_list_as_of_, confirmed.as_of);
}

void Dispatcher::Impl::On(const WorkerEnrolled& enrolled, const Now&) {
  const auto [found, added] = workers_.try_emplace(enrolled.name);
  WorkerState& worker = found->second;
  worker.enrolled = true;
  if (!added) return;
  worker.entry.name = enrolled.name;
  worker.entry.host = enrolled.host;
  worker.entry.port = enrolled.port;
}

void Dispatcher::Impl::On(OrderEnded ended, const Now& now) {
  const auto found = orders_.find(ended.order);
  if (found == orders_.end()) return;
  const PendingOrder order = found->second;
  orders_.erase(found);
  const auto at = workers_.find(order.worker);
  if (at == workers_.end()) return;
  WorkerState& worker = at->second;
  using Kind = PendingOrder::Kind;
  if (order.kind == Kind::kPoll) --worker.polls_in_flight;
  if (std::holds_alternative<OrderExpired>(ended.outcome)) {
    HandleExpiredOrder(worker, order, now);
    return;
  }
  if (order.kind == Kind::kPoll) {
    if (const auto* report = std::get_if<WorkerReport>(&ended.outcome)) {
      HandleReport(worker, order, *report, now);
    } else {
      HandleUnansweredPoll(worker, now);
    }
    return;
  }
  const bool accepted = std::holds_alternative<OrderAccepted>(ended.outcome);
  if (order.kind == Kind::kStop) {
    HandleStopAnswer(worker, order, accepted, now);
  } else if (accepted) {
    const auto& answer = std::get<OrderAccepted>(ended.outcome);
    HandleAcceptedStart(worker, order, answer.clock, now);
  } else if (const auto* refused = std::get_if<OrderRefused>(&ended.outcome)) {
    HandleRefusedStart(worker, order, refused->refusal, now);
  } else {
    HandleUnansweredStart(worker, order, now);
  }
}

JobState* Dispatcher::Impl::FindJob(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

WorkerState* Dispatcher::Impl::FindWorker(const WorkerName& name) {
  const auto found = workers_.find(name);
  return found == workers_.end() ? nullptr : &found->second;
}

void Dispatcher::Impl::EraseWorker(const WorkerName& name) {
  plans_.CancelOn(name, workers_);
  paces_.Forget(name);
  workers_.erase(name);
}

bool Dispatcher::Impl::AllWorkersReconciled() const {
  return std::all_of(workers_.begin(), workers_.end(),
                     [](const auto& entry) { return entry.second.reconciled; });
}

void Dispatcher::Impl::Activate(StepState& step, TaskState& task,
                                const WorkerState& worker, RunNumber run) {
  task.phase = TaskPhase::kActive;
  task.run = run;
  task.worker = worker.entry.name;
  ++step.active;
}

void Dispatcher::Impl::AddPlacedRun(WorkerState& worker, const TaskName& name,
                                    PlacedRun placed) {
  worker.used += placed.need;
  if (placed.priority == 0) {
    urgent_use_[placed.account] += placed.need.accelerators;
  }
  if (placed.surplus) ++surplus_runs_;
  worker.has_open_orders = true;
  worker.placed_runs.emplace(name, std::move(placed));
}

void Dispatcher::Impl::RemovePlacedRun(WorkerState& worker,
                                       const TaskName& name) {
  const auto found = worker.placed_runs.find(name);
  const PlacedRun& placed = found->second;
  worker.used -= placed.need;
  if (placed.priority == 0) {
    urgent_use_[placed.account] -= placed.need.accelerators;
  }
  if (placed.surplus) --surplus_runs_;
  worker.placed_runs.erase(found);
}

PaceSummary Dispatcher::paces() const { return impl_->paces(); }

Dispatcher::Dispatcher(const DispatcherSettings& settings, Epoch epoch,
                       const PredecessorWindows& predecessors)
    : impl_(std::make_unique<Impl>(settings, epoch, predecessors)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::FinishLoading(TimePoint now) { impl_->FinishLoading(now); }

std::vector<DispatcherEffect> Dispatcher::Handle(DispatcherInput input,
                                                 const Now& now) {
  impl_->Handle(std::move(input), now);
  return impl_->TakeEffects();
}

std::vector<DispatcherEffect> Dispatcher::Decide(Authority authority,
                                                 const Now& now) {
  impl_->Decide(authority, now);
  return impl_->TakeEffects();
}

}  // namespace jasminespar::jobs
