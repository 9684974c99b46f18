/// @file
/// The policy of least attained service, with the reservation for large gangs.

#include <algorithm>
#include <bit>
#include <compare>
#include <queue>
#include <vector>

#include "scheduler_state.h"

namespace jasminespar::scheduling {
namespace {

/// Bounds the work of looking for gangs that give way.
constexpr Duration kGiveWayInterval = 100ms;
constexpr std::size_t kMaxGiveWay = 16;

/// Order in which the first jobs of the buckets are tried; smallest first.
struct Rank {
  Priority priority = Priority::kNormal;
  bool borrows = false;    ///< Its account's guarantee has no room for it.
  std::int64_t level = 0;  ///< Aged; may be negative.
  double share = 0;
  TimePoint arrival;
  JobIndex job = kNoJob;
  auto operator<=>(const Rank&) const = default;
};

struct Entry {
  Rank rank;
  const BucketKey* key = nullptr;  ///< Of a bucket that has jobs.
};

/// First job of a bucket.
struct Waiting {
  QueuePosition position;
  BucketKey key;
};

struct Younger {
  bool operator()(const Waiting& a, const Waiting& b) const {
    return a.position > b.position;
  }
};

struct Later {
  bool operator()(const Entry& a, const Entry& b) const {
    return a.rank > b.rank;
  }
};

}  // namespace

bool Scheduler::State::MayFit(const BucketKey& key) const {
  const auto gang = static_cast<std::uint32_t>(key.shape.accelerators);
  if (key.priority == Priority::kUrgent) return true;
  if (allocator_.tree().free() >= gang) {
    const GangRequest request{kNoJob, key.account, key.shape, key.reclaimable};
    if (!misses_.Contains(request)) return true;
  }
  return HasGuaranteeRoom(key.account, key.shape);
}

void Scheduler::State::RunLeastAttained(const LeastAttainedService& policy,
                                        TimePoint now) {
  if (reservation_ || full_pass_) ServeReservation(now);
  std::priority_queue<Entry, std::vector<Entry>, Later> order;
  const auto push = [&](const BucketKey& key, JobIndex head) {
    if (!MayFit(key)) return;
    const JobRecord& record = jobs_.at(head);
    const std::int64_t aged = policy.ageing > Duration{}
                                  ? (now - record.job.arrival) / policy.ageing
                                  : 0;
    // Without patience a guaranteed job reclaims at once and needs no lead.
    const bool borrows = reclaim_delay_ > Duration{} &&
                         !HasGuaranteeRoom(key.account, key.shape);
    order.push(
        Entry{Rank{key.priority, borrows, key.level - aged,
                   accounts_[key.account].Share(), record.job.arrival, head},
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
    const Entry entry = order.top();
    order.pop();
    const BucketKey key = *entry.key;
    if (!MayFit(key)) continue;
    // The account may have been given accelerators since the entry was made.
    if (entry.rank.share < accounts_[key.account].Share()) {
      push_bucket(key);
      continue;
    }
    if (TryStart(entry.rank.job, now)) push_bucket(key);
  }
  if (policy.preemption_delay > Duration{}) GiveWay(policy, now);
}

Displaceable Scheduler::State::Giving(const LeastAttainedService& policy,
                                      std::uint8_t level, TimePoint now) const {
  Displaceable giving(allocator_.tree().workers().size());
  for (const JobIndex job : running_) {
    const JobRecord& record = jobs_.at(job);
    if (record.state != JobState::kRunning) continue;
    if (now - record.started < policy.preemption_min_run_time) continue;
    const Gang& gang = allocator_.gang(job);
    if (gang.hold != HoldClass::kBorrowed) continue;
    const Duration attained = record.attained + (now - record.started);
    // The level at entry holds what the model knew.
    if (record.level <= level &&
        LevelOfService(policy, attained * record.job.gang.accelerators) <=
            level) {
      continue;
    }
    for (const Part& part : gang.parts) giving[part.worker] |= part.mask;
  }
  return giving;
}

void Scheduler::State::GiveWay(const LeastAttainedService& policy,
                               TimePoint now) {
  if (now < last_give_way_ + kGiveWayInterval) return;
  const auto is_due = [&](const QueuePosition& position) {
    return now >= position.arrival + policy.preemption_delay;
  };
  std::vector<Waiting> due;
  for (const auto& [key, bucket] : queue_.buckets()) {
    if (key.level > 0 || key.priority == Priority::kBatch) continue;
    if (is_due(*bucket.begin())) due.push_back({*bucket.begin(), key});
  }
  if (due.empty()) return;
  last_give_way_ = now;
  const Displaceable giving = Giving(policy, 0, now);
  std::make_heap(due.begin(), due.end(), Younger{});
  Misses misses;
  for (std::size_t i = 0; i < kMaxGiveWay && !due.empty(); ++i) {
    std::pop_heap(due.begin(), due.end(), Younger{});
    const Waiting first = due.back();
    due.pop_back();
    const GangRequest request = RequestOf(first.position.job);
    if (misses.Contains(request)) continue;
    const auto allocated = allocator_.AllocateDisplacing(request, giving);
    if (!allocated) {
      misses.Add(request);
      continue;
    }
    Started(first.position.job, *allocated, now);
    const auto bucket = queue_.buckets().find(first.key);
    if (bucket == queue_.buckets().end()) continue;
    if (!is_due(*bucket->second.begin())) continue;
    due.push_back({*bucket->second.begin(), first.key});
    std::push_heap(due.begin(), due.end(), Younger{});
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

void Scheduler::State::ServeReservation(TimePoint now) {
  if (reservation_ &&
      now - reservation_->made >= settings_.reservation_wait * 4) {
    reservation_.reset();  // The place was lost to a guarantee: choose again.
    allocator_.ClearReserved();
  }
  if (!reservation_) MakeReservation(now);
  if (!reservation_) return;
  const JobIndex job = reservation_->job;
  allocator_.ClearReserved();
  if (TryStart(job, now)) return;
  Displaceable displaceable(allocator_.tree().workers().size());
  auto most = static_cast<int>(allocator_.tree().free());
  for (const Part& part : reservation_->parts) {
    displaceable[part.worker] |=
        allocator_.HeldBorrowed(part, [&](JobIndex holder) {
          const JobRecord& record = jobs_.at(holder);
          return record.state == JobState::kRunning &&
                 record.started >= reservation_->made &&
                 record.job.arrival > jobs_.at(job).job.arrival &&
                 record.job.priority >= jobs_.at(job).job.priority;
        });
    most += std::popcount(displaceable[part.worker]);
  }
  std::optional<Allocated> allocated;
  if (most >= jobs_.at(job).job.gang.accelerators) {
    allocated = allocator_.AllocateDisplacing(RequestOf(job), displaceable);
  }
  if (allocated) {
    Started(job, *allocated, now);
    return;
  }
  allocator_.SetReserved(reservation_->parts);
}

}  // namespace jasminespar::scheduling
