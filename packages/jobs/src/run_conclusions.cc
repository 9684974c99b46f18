// Conclusions that a run is over, and reports that contradict them.
#include "run_conclusions.h"

#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// Conclusions that are remembered. A cut-off data centre of a large site has
/// fewer runs.
constexpr std::size_t kMaxConclusions = 4096;

}  // namespace

void RunConclusions::Add(const RunConcluded& concluded, TimePoint now) {
  Key key{concluded.worker, concluded.task, concluded.run};
  const bool added = known_.insert_or_assign(key, Known{concluded, now}).second;
  if (!added) return;
  oldest_first_.push_back(std::move(key));
  if (oldest_first_.size() <= kMaxConclusions) return;
  known_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

const RunConclusions::Known* RunConclusions::Find(
    const WorkerName& worker, const TaskName& task, RunNumber run,
    RunNumber first_own_run) const {
  const auto found = known_.find({worker, task, run});
  if (found != known_.end()) return &found->second;
  if (run >= first_own_run) return nullptr;
  const auto all = known_.find({worker, {}, {}});
  return all == known_.end() ? nullptr : &all->second;
}

LeaseEvidence Dispatcher::Impl::EvidenceOf(const WorkerState& worker,
                                           TimePoint now) const {
  LeaseEvidence evidence;
  evidence.basis = worker.lease.basis;
  evidence.past_bound = now - worker.lease.expires_at;
  if (worker.lease.renewed_at) {
    evidence.since_renewal = now - *worker.lease.renewed_at;
  }
  if (worker.last_answer != TimePoint{}) {
    evidence.since_answer = now - worker.last_answer;
  }
  if (worker.clock) {
    evidence.clock = *worker.clock;
    evidence.since_clock = now - worker.clock_at;
  }
  evidence.predecessors = predecessors_;
  evidence.since_load = now - loaded_at_;
  return evidence;
}

void Dispatcher::Impl::ConcludeOver(const WorkerState& worker,
                                    const TaskName& task, RunNumber run,
                                    DecisionCause cause, const Now& now) {
  RunConcluded concluded{cause,
                         task,
                         run,
                         FirstOwnRun(),
                         worker.entry.name,
                         EvidenceOf(worker, now.steady)};
  conclusions_.Add(concluded, now.steady);
  effects_.emplace_back(std::move(concluded));
}

void Dispatcher::Impl::ReportContradiction(Contradiction kind,
                                           const WorkerState& worker,
                                           const TaskName& name, RunNumber run,
                                           const Now& now) {
  const RunConclusions::Known* known =
      conclusions_.Find(worker.entry.name, name, run, FirstOwnRun());
  // The report may be older than the conclusion.
  if (known != nullptr && worker.reports.newest_polled_at() < known->at) return;
  RunContradicted contradicted;
  contradicted.kind = kind;
  contradicted.task = name;
  contradicted.run = run;
  contradicted.worker = worker.entry.name;
  JobState* job = FindJob(name.job);
  const TaskState* task = job == nullptr ? nullptr : FindTask(*job, name);
  if (task != nullptr && task->phase == TaskPhase::kActive) {
    contradicted.other_run = task->run;
    contradicted.other_worker = task->worker;
  }
  if (known != nullptr) {
    contradicted.cause = known->concluded.cause;
    contradicted.since_conclusion = now.steady - known->at;
    contradicted.evidence = known->concluded.evidence;
  } else {
    contradicted.evidence = EvidenceOf(worker, now.steady);
  }
  effects_.emplace_back(std::move(contradicted));
}

bool Dispatcher::Impl::IsConcludedOver(const WorkerState& worker,
                                       const TaskName& task,
                                       RunNumber run) const {
  return conclusions_.Find(worker.entry.name, task, run, FirstOwnRun()) !=
         nullptr;
}

}  // namespace jasminespar::jobs
