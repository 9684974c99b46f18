/// @file
/// Decisions of a Scheduler: which jobs are started, reclaimed and dropped. The
/// least attained service policy is in least_attained.cc.

#include <algorithm>
#include <limits>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/scheduling/invariant.h"
#include "scheduler_state.h"

namespace jasminespar::scheduling {
namespace {

/// A pass that cancels claims is followed by another pass, up to this limit.
constexpr int kMaxPasses = 4;

}  // namespace

std::vector<Action> Scheduler::State::Decide(TimePoint now) {
  actions_.clear();
  EndQuarantines(now);
  DropExpired(now);
  HandleExpiredTimers(now);
  for (const JobIndex job : std::exchange(ready_, {})) StartAllocated(job, now);
  for (int pass = 0; pass == 0 || (needs_full_pass_ && pass < kMaxPasses);
       ++pass) {
    full_pass_ = std::exchange(needs_full_pass_, false);
    RunPolicy(now);
    new_heads_.clear();
  }
  while (!timers_.empty() && IsStale(timers_.top())) timers_.pop();
  allocator_.CheckDecision();
  if (settings_.validation == Validation::kFull) allocator_.CheckFully();
  return std::exchange(actions_, {});
}

void Scheduler::State::EndQuarantines(TimePoint now) {
  for (const WorkerId worker : health_.EndExpiredQuarantines(now)) {
    const auto index = allocator_.tree().Find(worker);
    if (!index) continue;
    RequeueCancelledClaims(allocator_.SetQuarantined(*index, false));
    RecordFreedCapacity();
  }
}

void Scheduler::State::DropExpired(TimePoint now) {
  while (const auto first = queue_.FirstDeadline()) {
    if (first->arrival > now) return;
    const CallId id = jobs_.at(first->job).job.id;
    Remove(id);
    actions_.emplace_back(DropJob{
        id, Refusal{Reason::kDeadlinePassed, Verdict::kNotRun, Duration{},
                    "The deadline passed while the call waited."}});
  }
}

void Scheduler::State::RunPolicy(TimePoint now) {
  std::visit(
      Overloaded{
          [&](const FirstComeFirstServed&) { RunInOrder(now); },
          [&](const DeclaredBackfill& policy) { RunBackfill(policy, now); },
          [&](const LeastAttainedService& policy) {
            RunLeastAttained(policy, now);
          },
      },
      settings_.queue);
}

void Scheduler::State::RunInOrder(TimePoint now) {
  if (!full_pass_ && new_heads_.empty()) return;
  while (!queue_.buckets().empty()) {
    const JobIndex head = queue_.buckets().begin()->second.begin()->job;
    if (!TryStart(head, now)) return;
  }
}

TimePoint Scheduler::State::DeclaredStart(JobIndex head, TimePoint now) const {
  // The head can start once enough running gangs have reached their declared
  // end.
  std::vector<std::pair<TimePoint, int>> ends;
  for (const JobIndex job : running_) {
    const JobRecord& record = jobs_.at(job);
    ends.emplace_back(
        std::max(now, record.started + record.job.declared_run_time),
        record.job.gang.accelerators);
  }
  std::sort(ends.begin(), ends.end());
  int free = static_cast<int>(allocator_.tree().free());
  for (const auto& [end, accelerators] : ends) {
    free += accelerators;
    if (free >= jobs_.at(head).job.gang.accelerators) return end;
  }
  return TimePoint::max();
}

void Scheduler::State::RunBackfill(const DeclaredBackfill& policy,
                                   TimePoint now) {
  RunInOrder(now);
  if (queue_.buckets().empty()) return;
  const Bucket& queue = queue_.buckets().begin()->second;
  const TimePoint head_start = DeclaredStart(queue.begin()->job, now);
  std::vector<JobIndex> behind;
  for (auto it = std::next(queue.begin());
       it != queue.end() && behind.size() < policy.depth; ++it) {
    const Job& job = jobs_.at(it->job).job;
    if (now + job.declared_run_time <= head_start) behind.push_back(it->job);
  }
  for (const JobIndex job : behind) {
    if (allocator_.tree().free() == 0) return;
    static_cast<void>(TryStart(job, now));
  }
}

GangRequest Scheduler::State::RequestOf(JobIndex job) const {
  const JobRecord& record = jobs_.at(job);
  return {job, record.account, record.job.gang, record.job.reclaimable};
}

std::optional<AllocationResult> Scheduler::State::Allocate(JobIndex job,
                                                           TimePoint now) {
  const GangRequest request = RequestOf(job);
  const auto gang = static_cast<std::uint32_t>(request.shape.accelerators);
  const bool guaranteed = FitsUnusedGuarantee(request.account, request.shape);
  if (guaranteed && allocator_.tree().free() >= gang) {
    auto allocated =
        allocator_.AllocateGuaranteed(request, ReclaimRule::kFreeOnly);
    if (allocated) return allocated;
  }
  const bool delays = DelaysReclaim(jobs_.at(job)) &&
                      now < jobs_.at(job).job.arrival + reclaim_delay_;
  if (guaranteed && !delays) {
    auto allocated =
        allocator_.AllocateGuaranteed(request, ReclaimRule::kMayReclaim);
    if (allocated) return allocated;
  }
  // The job must not borrow: it could be reclaimed although its guarantee has
  // room.
  if (guaranteed && delays) return std::nullopt;
  if (!unplaceable_.Contains(request)) {
    if (auto allocated = allocator_.AllocateFree(request)) return allocated;
    unplaceable_.Add(request);
  }
  const Priority priority = jobs_.at(job).job.priority;
  if (priority != Priority::kUrgent) return std::nullopt;
  return AllocateUrgent(request, priority);
}

std::optional<AllocationResult> Scheduler::State::AllocateUrgent(
    const GangRequest& request, Priority priority) {
  PreemptibleMasks preemptible(allocator_.tree().workers().size());
  for (const JobIndex job : running_) {
    const JobRecord& record = jobs_.at(job);
    if (record.state != JobState::kRunning) continue;
    if (record.job.priority <= priority) continue;
    const Gang& gang = allocator_.gang(job);
    if (gang.hold != HoldClass::kBorrowed) continue;
    for (const GangPart& part : gang.parts) {
      preemptible[part.worker] |= part.mask;
    }
  }
  return allocator_.AllocatePreempting(request, preemptible);
}

bool Scheduler::State::TryStart(JobIndex job, TimePoint now) {
  const auto allocated = Allocate(job, now);
  if (!allocated) return false;
  ApplyAllocation(job, *allocated, now);
  return true;
}

void Scheduler::State::ApplyAllocation(JobIndex job,
                                       const AllocationResult& allocated,
                                       TimePoint now) {
  queue_.Remove(job, jobs_.at(job));
  ChargeAccount(job);
  if (reservation_ && reservation_->job == job) {
    reservation_.reset();
    allocator_.ClearReserved();
    unplaceable_.Clear();
  }
  for (const JobIndex victim : allocated.victims) {
    jobs_.at(victim).state = JobState::kReclaiming;
    actions_.emplace_back(ReclaimGang{jobs_.at(victim).job.id});
  }
  RequeueCancelledClaims(allocated.cancelled_claims);
  if (allocated.ready) {
    StartAllocated(job, now);
  } else {
    jobs_.at(job).state = JobState::kClaiming;
  }
}

void Scheduler::State::StartAllocated(JobIndex job, TimePoint now) {
  JobRecord& record = jobs_.at(job);
  record.state = JobState::kRunning;
  record.started = now;
  AddRunning(job);
  start_rate_.RecordStart(record.job.priority, record.level,
                          record.job.gang.accelerators, now);
  StartGang start{record.job.id, {}};
  for (const GangPart& part : allocator_.gang(job).parts) {
    start.placement.parts.push_back(
        {allocator_.tree().workers()[part.worker].id, part.mask});
  }
  actions_.emplace_back(std::move(start));
}

std::optional<TimePoint> Scheduler::State::NextDecision(TimePoint now) const {
  if (needs_full_pass_ || !new_heads_.empty() || !ready_.empty()) return now;
  std::optional<TimePoint> next = health_.NextQuarantineEnd();
  const auto consider = [&](TimePoint at) {
    if (!next || at < *next) next = at;
  };
  if (const auto deadline = queue_.FirstDeadline()) {
    consider(deadline->arrival);
  }
  if (!timers_.empty()) consider(std::max(now, timers_.top().at));
  return next;
}

}  // namespace jasminespar::scheduling
