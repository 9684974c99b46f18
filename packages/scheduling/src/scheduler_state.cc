#include "scheduler_state.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/scheduling/invariant.h"

namespace jasminespar::scheduling {
namespace {

constexpr std::size_t kMaxReclaimedJobs = 10'000;

Grouping GroupingFor(const QueuePolicy& policy) {
  return std::visit(
      Overloaded{
          [](const FirstComeFirstServed&) { return Grouping::kSingleQueue; },
          [](const DeclaredBackfill&) { return Grouping::kSingleQueue; },
          [](const LeastAttainedService&) { return Grouping::kByKey; },
      },
      policy);
}

Duration WindowOf(const AdmissionPolicy& policy) {
  return std::visit(
      Overloaded{
          [](const AdmitUntilFull&) {
            return RefuseUnreachableDeadline{}.window;
          },
          [](const RefuseUnreachableDeadline& refuse) { return refuse.window; },
      },
      policy);
}

Duration ReclaimDelayOf(const QueuePolicy& policy) {
  return std::visit(Overloaded{
                        [](const LeastAttainedService& attained) {
                          return attained.reclaim_delay;
                        },
                        [](const auto&) { return Duration{}; },
                    },
                    policy);
}

}  // namespace

Scheduler::State::State(const PolicySettings& settings,
                        const configuration::CellTopology& topology)
    : settings_(settings),
      allocator_(topology, settings.placement, settings.mutation),
      queue_(GroupingFor(settings.queue)),
      start_rate_(WindowOf(settings.admission)),
      health_(HealthSettings{settings.quarantine_failures,
                             settings.quarantine_time,
                             settings.poison_failures}),
      reclaim_delay_(ReclaimDelayOf(settings.queue)) {}

AccountIndex Scheduler::State::AccountOf(const ClientAccountId& id) {
  const auto next = static_cast<AccountIndex>(accounts_.size());
  const auto [entry, added] = account_index_.try_emplace(id, next);
  if (added) accounts_.push_back(AccountState{.id = id});
  return entry->second;
}

bool Scheduler::State::FitsUnusedGuarantee(AccountIndex account,
                                           const GangShape& shape) const {
  return accounts_[account].has_guarantee &&
         allocator_.clusters().cluster(account).Unused() >= shape.accelerators;
}

void Scheduler::State::AddRunning(JobIndex job) {
  jobs_.at(job).running_index = running_.size();
  running_.push_back(job);
}

void Scheduler::State::RemoveRunning(JobIndex job) {
  const std::size_t at = jobs_.at(job).running_index;
  running_[at] = running_.back();
  jobs_.at(running_[at]).running_index = at;
  running_.pop_back();
}

void Scheduler::State::RecordFreedCapacity() {
  needs_full_pass_ = true;
  unplaceable_.Clear();
}

void Scheduler::State::ChargeAccount(JobIndex job) {
  // Accelerators inside a guarantee do not count towards the borrowed share.
  if (allocator_.gang(job).hold == HoldClass::kGuaranteed) return;
  JobRecord& record = jobs_.at(job);
  record.charged = static_cast<std::uint32_t>(record.job.gang.accelerators);
  accounts_[record.account].borrowed += record.charged;
}

void Scheduler::State::CreditAccount(JobIndex job) {
  JobRecord& record = jobs_.at(job);
  accounts_[record.account].borrowed -= std::exchange(record.charged, 0);
}

void Scheduler::State::RequeueCancelledClaims(
    const std::vector<JobIndex>& cancelled_claims) {
  for (const JobIndex job : cancelled_claims) {
    CreditAccount(job);
    JobRecord& record = jobs_.at(job);
    record.state = JobState::kWaiting;
    queue_.Add(job, record);
    SetTimers(job);
  }
  if (!cancelled_claims.empty()) RecordFreedCapacity();
}

bool Scheduler::State::DelaysReclaim(const JobRecord& record) const {
  // Jobs of other levels reclaim at once: a long job must not run as a borrower
  // while its guarantee has room.
  return reclaim_delay_ > Duration{} && record.level == 0;
}

void Scheduler::State::SetTimers(JobIndex job) {
  std::visit(
      Overloaded{
          [&](const LeastAttainedService& policy) { SetTimers(policy, job); },
          [](const auto&) {},
      },
      settings_.queue);
}

void Scheduler::State::SetTimers(const LeastAttainedService& policy,
                                 JobIndex job) {
  const JobRecord& record = jobs_.at(job);
  const std::uint64_t sequence = queue_.SequenceOf(job);
  const auto set = [&](Duration wait) {
    timers_.push({record.job.arrival + wait, job, sequence});
  };
  set(settings_.reservation_wait);
  if (policy.preemption_delay > Duration{}) set(policy.preemption_delay);
  if (DelaysReclaim(record) && accounts_[record.account].has_guarantee) {
    set(reclaim_delay_);
  }
}

bool Scheduler::State::IsStale(const Timer& timer) const {
  return jobs_.at(timer.job).state != JobState::kWaiting ||
         queue_.SequenceOf(timer.job) != timer.sequence;
}

void Scheduler::State::HandleExpiredTimers(TimePoint now) {
  while (!timers_.empty()) {
    const Timer timer = timers_.top();
    const bool stale = IsStale(timer);
    if (!stale && timer.at > now) return;
    timers_.pop();
    // A job behind the first of its bucket is tried once it becomes the first.
    if (!stale && queue_.IsFirst(timer.job, jobs_.at(timer.job))) {
      needs_full_pass_ = true;
    }
  }
}

void Scheduler::State::MarkReady(const std::vector<JobIndex>& ready) {
  for (const JobIndex job : ready) {
    jobs_.at(job).state = JobState::kReady;
    ready_.push_back(job);
  }
}

void Scheduler::State::ApplyTopology(
    const configuration::CellTopology& topology) {
  reservation_.reset();
  allocator_.ClearReserved();
  RequeueCancelledClaims(allocator_.ApplyTopology(topology));
  RecordFreedCapacity();
}

void Scheduler::State::ApplyShare(const configuration::CellShare& share) {
  for (AccountState& account : accounts_) {
    account = AccountState{.id = account.id, .borrowed = account.borrowed};
  }
  std::vector<std::vector<configuration::Guarantee>> guarantees(
      accounts_.size());
  for (const configuration::ClientAccount& account : share.accounts) {
    const AccountIndex index = AccountOf(account.id);
    guarantees.resize(accounts_.size());
    accounts_[index].weight = account.weight;
    accounts_[index].max_waiting = account.max_waiting_calls;
    accounts_[index].has_guarantee = !account.guarantees.empty();
    guarantees[index] = account.guarantees;
  }
  allocator_.ApplyGuarantees(guarantees);
  jobs_.ForEach([&](JobIndex job, const JobRecord&) {
    if (!allocator_.Holds(job)) return;
    CreditAccount(job);
    ChargeAccount(job);
  });
  RecordFreedCapacity();
}

std::optional<Refusal> Scheduler::State::Enqueue(const Job& job,
                                                 TimePoint now) {
  Ensure(jobs_.Find(job.id) == kNoJob, "job enqueued twice");
  JobRecord record;
  record.job = job;
  record.account = AccountOf(job.account);
  const auto earlier = attained_.find(job.id);
  if (earlier != attained_.end()) record.attained = earlier->second;
  record.level = LevelOf(job, record.attained);
  if (auto refusal = CheckAdmission(record, now)) return refusal;
  if (earlier != attained_.end()) attained_.erase(earlier);
  const JobIndex index = jobs_.Add(std::move(record));
  if (queue_.Add(index, jobs_.at(index))) new_heads_.push_back(index);
  SetTimers(index);
  return std::nullopt;
}

bool Scheduler::State::Remove(const CallId& id) {
  const JobIndex job = jobs_.Find(id);
  if (job == kNoJob || !jobs_.at(job).IsWaiting()) return false;
  std::erase(ready_, job);
  std::erase(new_heads_, job);
  if (jobs_.at(job).state == JobState::kWaiting) {
    queue_.Remove(job, jobs_.at(job));
    // The removed job may have blocked later jobs that fit.
    if (queue_.grouping() == Grouping::kSingleQueue) needs_full_pass_ = true;
    if (reservation_ && reservation_->job == job) {
      reservation_.reset();
      allocator_.ClearReserved();
      RecordFreedCapacity();
    }
  } else {
    CreditAccount(job);
    MarkReady(allocator_.Release(job));
    RecordFreedCapacity();
  }
  jobs_.Erase(job);
  return true;
}

void Scheduler::State::Adopt(const Job& job, const Placement& placement,
                             TimePoint now) {
  Ensure(jobs_.Find(job.id) == kNoJob, "job adopted twice");
  JobRecord record;
  record.job = job;
  record.account = AccountOf(job.account);
  record.state = JobState::kRunning;
  record.started = now;
  record.level = LevelOf(job, Duration{});
  std::vector<GangPart> parts;
  for (const Allocation& part : placement.parts) {
    if (const auto worker = allocator_.tree().Find(part.worker)) {
      parts.push_back({*worker, part.accelerators});
    }
  }
  const JobIndex index = jobs_.Add(std::move(record));
  if (!allocator_.Adopt(RequestOf(index), parts)) {
    jobs_.Erase(index);
    return;
  }
  ChargeAccount(index);
  AddRunning(index);
}

void Scheduler::State::Release(const CallId& id, TimePoint now) {
  const JobIndex job = jobs_.Find(id);
  if (job == kNoJob || jobs_.at(job).IsWaiting()) return;
  const JobRecord& record = jobs_.at(job);
  const Duration total = record.attained + (now - record.started);
  if (record.state == JobState::kReclaiming) {
    if (attained_.size() >= kMaxReclaimedJobs) attained_.clear();
    attained_[id] = total;
  }
  CreditAccount(job);
  MarkReady(allocator_.Release(job));
  RemoveRunning(job);
  jobs_.Erase(job);
  RecordFreedCapacity();
}

void Scheduler::State::RecordResult(const CallId& id, WorkerId worker,
                                    TaskResult result, TimePoint now) {
  if (result == TaskResult::kSucceeded) {
    const JobIndex job = jobs_.Find(id);
    // All parts report; the gang's run time is taken from the worker of rank 0.
    if (job != kNoJob && jobs_.at(job).state == JobState::kRunning &&
        worker == allocator_.FirstWorker(job)) {
      const JobRecord& record = jobs_.at(job);
      run_times_.RecordRun(record.job.service, record.job.gang.accelerators,
                           record.attained + (now - record.started));
    }
    health_.RecordSuccess(id, worker);
    return;
  }
  const auto index = allocator_.tree().Find(worker);
  if (!index) return;
  const std::size_t workers = allocator_.tree().workers().size();
  if (health_.RecordFailure(id, worker, workers, now)) {
    RequeueCancelledClaims(allocator_.SetQuarantined(*index, true));
  }
}

bool Scheduler::State::IsPoison(const CallId& id) const {
  return health_.IsPoison(id);
}

}  // namespace jasminespar::scheduling
