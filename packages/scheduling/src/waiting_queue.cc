#include "jasminespar/scheduling/waiting_queue.h"

#include "jasminespar/scheduling/invariant.h"

namespace jasminespar::scheduling {

BucketKey WaitingQueue::KeyOf(const JobRecord& record) const {
  if (grouping_ == Grouping::kSingleQueue) return BucketKey{};
  return BucketKey{record.job.priority, record.account, record.level,
                   record.job.gang, record.job.reclaimable};
}

bool WaitingQueue::Add(JobIndex job, const JobRecord& record) {
  if (job >= sequence_.size()) sequence_.resize(job + 1);
  sequence_[job] = next_sequence_++;
  Bucket& bucket = buckets_[KeyOf(record)];
  const auto entry =
      bucket.insert({record.job.arrival, sequence_[job], job}).first;
  by_deadline_.insert({record.job.deadline, sequence_[job], job});
  if (record.account >= by_account_.size()) {
    by_account_.resize(record.account + 1);
  }
  ++by_account_[record.account];
  demand_[static_cast<std::size_t>(record.job.priority)][record.level] +=
      static_cast<std::uint64_t>(record.job.gang.accelerators);
  ++size_;
  return entry == bucket.begin();
}

void WaitingQueue::Remove(JobIndex job, const JobRecord& record) {
  const auto bucket = buckets_.find(KeyOf(record));
  Ensure(bucket != buckets_.end(), "waiting job has no bucket");
  Ensure(bucket->second.erase({record.job.arrival, sequence_[job], job}) == 1,
         "waiting job is not in its bucket");
  if (bucket->second.empty()) buckets_.erase(bucket);
  by_deadline_.erase({record.job.deadline, sequence_[job], job});
  --by_account_[record.account];
  demand_[static_cast<std::size_t>(record.job.priority)][record.level] -=
      static_cast<std::uint64_t>(record.job.gang.accelerators);
  --size_;
}

std::optional<QueuePosition> WaitingQueue::FirstDeadline() const {
  if (by_deadline_.empty()) return std::nullopt;
  return *by_deadline_.begin();
}

}  // namespace jasminespar::scheduling
