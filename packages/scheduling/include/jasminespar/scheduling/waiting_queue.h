/// @file
/// Waiting jobs, grouped into buckets so that a shape that does not fit is
/// tried only once.

#ifndef JASMINESPAR_SCHEDULING_WAITING_QUEUE_H_
#define JASMINESPAR_SCHEDULING_WAITING_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"
#include "jasminespar/scheduling/job_table.h"

namespace jasminespar::scheduling {

/// Jobs with equal keys are interchangeable for the allocator.
struct BucketKey {
  Priority priority = Priority::kNormal;
  AccountIndex account = 0;
  std::uint8_t level = 0;
  GangShape shape;
  bool reclaimable = true;
  auto operator<=>(const BucketKey&) const = default;
};

/// Whether there is one bucket for each key, or a single one for all jobs.
enum class Grouping : std::uint8_t { kByKey, kSingleQueue };

/// Position in a bucket, ordered by arrival.
struct QueuePosition {
  TimePoint arrival;
  std::uint64_t sequence = 0;  ///< Orders equal arrivals by insertion.
  JobIndex job = kNoJob;
  auto operator<=>(const QueuePosition&) const = default;
};

using Bucket = std::set<QueuePosition>;

/// Accelerators that waiting jobs ask for, by priority and service level.
using Demand = std::array<std::array<std::uint64_t, kServiceLevels>,
                          kPriorityNames.size()>;

/// Insertion and removal take time logarithmic in the number of jobs. Not
/// thread-safe.
class WaitingQueue {
 public:
  explicit WaitingQueue(Grouping grouping) : grouping_(grouping) {}

  /// Adds a job to the bucket of its key.
  /// @return whether the job is now the first of its bucket.
  bool Add(JobIndex job, const JobRecord& record);
  void Remove(JobIndex job, const JobRecord& record);

  [[nodiscard]] const std::map<BucketKey, Bucket>& buckets() const noexcept {
    return buckets_;
  }
  [[nodiscard]] BucketKey KeyOf(const JobRecord& record) const;
  /// @return whether a waiting job is the first of its bucket.
  [[nodiscard]] bool IsFirst(JobIndex job, const JobRecord& record) const {
    const auto bucket = buckets_.find(KeyOf(record));
    return bucket != buckets_.end() && bucket->second.begin()->job == job;
  }
  /// @return the sequence number of the job's latest insertion, which is unique
  ///     among all insertions.
  [[nodiscard]] std::uint64_t SequenceOf(JobIndex job) const {
    return sequence_[job];
  }
  [[nodiscard]] Grouping grouping() const noexcept { return grouping_; }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  /// @return the number of waiting jobs of the account.
  [[nodiscard]] std::uint32_t WaitingOf(AccountIndex account) const {
    return account < by_account_.size() ? by_account_[account] : 0;
  }
  [[nodiscard]] const Demand& demand() const noexcept { return demand_; }

  /// @return the job with the earliest deadline, if any, with that deadline in
  ///     `arrival`.
  [[nodiscard]] std::optional<QueuePosition> FirstDeadline() const;

 private:
  Grouping grouping_;
  std::map<BucketKey, Bucket> buckets_;
  std::set<QueuePosition> by_deadline_;  ///< `arrival` holds the deadline.
  std::vector<std::uint64_t> sequence_;  ///< By job index.
  std::vector<std::uint32_t> by_account_;
  Demand demand_{};
  std::uint64_t next_sequence_ = 0;
  std::size_t size_ = 0;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_WAITING_QUEUE_H_
