/// @file
/// The least attained service policy, its preemption of long jobs, and the
/// reservation for gangs that have waited long.

#include <algorithm>
#include <bit>
#include <compare>
#include <queue>
#include <vector>

#include "scheduler_state.h"

namespace jasminespar::scheduling {
namespace {

/// Limits the cost of the search for gangs to preempt: minimum time between two
/// searches, and waiting jobs served by each.
constexpr Duration kPreemptionInterval = 100ms;
constexpr std::size_t kMaxPreemptingJobs = 16;

/// Order in which the first jobs of the buckets are tried, smallest first.
struct Rank {
  Priority priority = Priority::kNormal;
  bool borrows = false;    ///< Does not fit its account's unused guarantee.
  std::int64_t level = 0;  ///< Reduced by ageing; may be negative.
  double share = 0;
  TimePoint arrival;
  JobIndex job = kNoJob;
  auto operator<=>(const Rank&) const = default;
};

struct RankedBucket {
  Rank rank;
  const BucketKey* key = nullptr;  ///< Of a bucket that is not empty.
};

/// First job of a bucket and the bucket's key.
struct WaitingHead {
  QueuePosition position;
  BucketKey key;
};

struct LaterArrival {
  bool operator()(const WaitingHead& a, const WaitingHead& b) const {
    return a.position > b.position;
  }
};

struct TriedLater {
  bool operator()(const RankedBucket& a, const RankedBucket& b) const {
    return a.rank > b.rank;
  }
};

}  // namespace

bool Scheduler::State::MayFit(const BucketKey& key) const {
  const auto gang = static_cast<std::uint32_t>(key.shape.accelerators);
  if (key.priority == Priority::kUrgent) return true;
  if (allocator_.tree().free() >= gang) {
    const GangRequest request{kNoJob, key.account, key.shape, key.reclaimable};
    if (!unplaceable_.Contains(request)) return true;
  }
  return FitsUnusedGuarantee(key.account, key.shape);
}

void Scheduler::State::RunLeastAttained(const LeastAttainedService& policy,
                                        TimePoint now) {
  if (reservation_ || full_pass_) ProcessReservation(now);
  std::priority_queue<RankedBucket, std::vector<RankedBucket>, TriedLater>
      order;
  const auto push = [&](const BucketKey& key, JobIndex head) {
    if (!MayFit(key)) return;
    const JobRecord& record = jobs_.at(head);
    const std::int64_t aged = policy.ageing > Duration{}
                                  ? (now - record.job.arrival) / policy.ageing
                                  : 0;
    // Without a reclaim delay a guaranteed job reclaims at once and needs no
    // precedence over borrowers.
    const bool borrows = reclaim_delay_ > Duration{} &&
                         !FitsUnusedGuarantee(key.account, key.shape);
    order.push(RankedBucket{
        Rank{key.priority, borrows, key.level - aged,
             accounts_[key.account].WeightedShare(), record.job.arrival, head},
        &key});
  };
  const auto push_bucket = [&](const BucketKey& key) {
    const auto bucket = queue_.buckets().find(key);
    if (bucket == queue_.buckets().end()) return;
    push(bucket->first, bucket->second.begin()->job);
  };
  if (full_pass_) {
    for (const auto& [key, bucket] : queue_.buckets()) {
      push(key, bucket.begin()->job);
    }
  } else {
    for (const JobIndex job : new_heads_) {
      if (jobs_.at(job).state != JobState::kWaiting) continue;
      const BucketKey key = queue_.KeyOf(jobs_.at(job));
      const auto bucket = queue_.buckets().find(key);
      if (bucket->second.begin()->job == job) push(bucket->first, job);
    }
  }
  while (!order.empty()) {
    const RankedBucket entry = order.top();
    order.pop();
    const BucketKey key = *entry.key;
    if (!MayFit(key)) continue;
    // The account's share may have grown since the entry was queued.
    if (entry.rank.share < accounts_[key.account].WeightedShare()) {
      push_bucket(key);
      continue;
    }
    if (TryStart(entry.rank.job, now)) push_bucket(key);
  }
  if (policy.preemption_delay > Duration{}) PreemptForShortJobs(policy, now);
}

PreemptibleMasks Scheduler::State::FindPreemptible(
    const LeastAttainedService& policy, std::uint8_t level,
    TimePoint now) const {
  PreemptibleMasks preemptible(allocator_.tree().workers().size());
  for (const JobIndex job : running_) {
    const JobRecord& record = jobs_.at(job);
    if (record.state != JobState::kRunning) continue;
    if (now - record.started < policy.preemption_min_run_time) continue;
    const Gang& gang = allocator_.gang(job);
    if (gang.hold != HoldClass::kBorrowed) continue;
    const Duration attained = record.attained + (now - record.started);
    // The recorded level includes the run time estimate at enqueue time.
    if (record.level <= level &&
        LevelOfService(policy, attained * record.job.gang.accelerators) <=
            level) {
      continue;
    }
    for (const GangPart& part : gang.parts) {
      preemptible[part.worker] |= part.mask;
    }
  }
  return preemptible;
}

void Scheduler::State::PreemptForShortJobs(const LeastAttainedService& policy,
                                           TimePoint now) {
  if (now < last_preemption_ + kPreemptionInterval) return;
  const auto is_due = [&](const QueuePosition& position) {
    return now >= position.arrival + policy.preemption_delay;
  };
  std::vector<WaitingHead> due;
  for (const auto& [key, bucket] : queue_.buckets()) {
    if (key.level > 0 || key.priority == Priority::kBatch) continue;
    if (is_due(*bucket.begin())) due.push_back({*bucket.begin(), key});
  }
  if (due.empty()) return;
  last_preemption_ = now;
  const PreemptibleMasks preemptible = FindPreemptible(policy, 0, now);
  std::make_heap(due.begin(), due.end(), LaterArrival{});
  UnplaceableShapes unplaceable;
  for (std::size_t i = 0; i < kMaxPreemptingJobs && !due.empty(); ++i) {
    std::pop_heap(due.begin(), due.end(), LaterArrival{});
    const WaitingHead first = due.back();
    due.pop_back();
    const GangRequest request = RequestOf(first.position.job);
    if (unplaceable.Contains(request)) continue;
    const auto allocated = allocator_.AllocatePreempting(request, preemptible);
    if (!allocated) {
      unplaceable.Add(request);
      continue;
    }
    ApplyAllocation(first.position.job, *allocated, now);
    const auto bucket = queue_.buckets().find(first.key);
    if (bucket == queue_.buckets().end()) continue;
    if (!is_due(*bucket->second.begin())) continue;
    due.push_back({*bucket->second.begin(), first.key});
    std::push_heap(due.begin(), due.end(), LaterArrival{});
  }
}

void Scheduler::State::MakeReservation(TimePoint now) {
  std::optional<QueuePosition> oldest;
  Priority priority = Priority::kBatch;
  for (const auto& [key, bucket] : queue_.buckets()) {
    const QueuePosition& head = *bucket.begin();
    if (now - head.arrival < settings_.reservation_wait) continue;
    if (oldest && (key.priority > priority ||
                   (key.priority == priority && *oldest < head))) {
      continue;
    }
    oldest = head;
    priority = key.priority;
  }
  if (!oldest) return;
  auto parts = allocator_.ChooseReservation(RequestOf(oldest->job));
  if (!parts) return;
  allocator_.SetReserved(*parts);
  reservation_ = Reservation{oldest->job, now, std::move(*parts)};
}

void Scheduler::State::ProcessReservation(TimePoint now) {
  if (reservation_ &&
      now - reservation_->created_at >= settings_.reservation_wait * 4) {
    // Not served in time, since a guarantee took the place: choose again.
    reservation_.reset();
    allocator_.ClearReserved();
  }
  if (!reservation_) MakeReservation(now);
  if (!reservation_) return;
  const JobIndex job = reservation_->job;
  allocator_.ClearReserved();
  if (TryStart(job, now)) return;
  // Preempts only later jobs of no better priority that started after the
  // reservation was made.
  PreemptibleMasks preemptible(allocator_.tree().workers().size());
  auto obtainable = static_cast<int>(allocator_.tree().free());
  for (const GangPart& part : reservation_->parts) {
    preemptible[part.worker] |=
        allocator_.HeldBorrowed(part, [&](JobIndex holder) {
          const JobRecord& record = jobs_.at(holder);
          return record.state == JobState::kRunning &&
                 record.started >= reservation_->created_at &&
                 record.job.arrival > jobs_.at(job).job.arrival &&
                 record.job.priority >= jobs_.at(job).job.priority;
        });
    obtainable += std::popcount(preemptible[part.worker]);
  }
  std::optional<AllocationResult> allocated;
  if (obtainable >= jobs_.at(job).job.gang.accelerators) {
    allocated = allocator_.AllocatePreempting(RequestOf(job), preemptible);
  }
  if (allocated) {
    ApplyAllocation(job, *allocated, now);
    return;
  }
  allocator_.SetReserved(reservation_->parts);
}

}  // namespace jasminespar::scheduling
