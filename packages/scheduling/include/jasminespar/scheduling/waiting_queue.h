/// @file
/// Waiting jobs, grouped so that a shape that does not fit is tried only once.

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

/// Jobs of one bucket differ only in what no allocation depends on.
struct BucketKey {
  Priority priority = Priority::kNormal;
  AccountIndex account = 0;
  std::uint8_t level = 0;
  GangShape shape;
  bool reclaimable = true;
  auto operator<=>(const BucketKey&) const = default;
};

/// Whether jobs are told apart by key or form one line in order of arrival.
enum class Grouping : std::uint8_t { kByKey, kOneLine };

/// Place in a bucket: by arrival.
struct QueuePosition {
  TimePoint arrival;
  std::uint64_t sequence = 0;  ///< Breaks ties in the order of entry.
  JobIndex job = kNoJob;
  auto operator<=>(const QueuePosition&) const = default;
};

using Bucket = std::set<QueuePosition>;

/// Accelerators that waiting jobs ask for, by priority and level.
using Demand = std::array<std::array<std::uint64_t, kServiceLevels>,
                          kPriorityNames.size()>;

/// Each change takes time logarithmic in the number of jobs and buckets.
class WaitingQueue {
 public:
  explicit WaitingQueue(Grouping grouping) : grouping_(grouping) {}

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
  /// @return a number that no other entry of a job into the queue has had.
  [[nodiscard]] std::uint64_t EntryOf(JobIndex job) const {
    return sequence_[job];
  }
  [[nodiscard]] Grouping grouping() const noexcept { return grouping_; }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  [[nodiscard]] std::uint32_t WaitingOf(AccountIndex account) const {
    return account < by_account_.size() ? by_account_[account] : 0;
  }
  [[nodiscard]] const Demand& demand() const noexcept { return demand_; }

  /// Removes nothing.
  /// @return the job with the earliest deadline, if any.
  [[nodiscard]] std::optional<QueuePosition> FirstDeadline() const;

 private:
  Grouping grouping_;
  std::map<BucketKey, Bucket> buckets_;
  std::set<QueuePosition> by_deadline_;  ///< `arrival` is the deadline here.
  std::vector<std::uint64_t> sequence_;  ///< By job index.
  std::vector<std::uint32_t> by_account_;
  Demand demand_{};
  std::uint64_t next_sequence_ = 0;
  std::size_t size_ = 0;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_WAITING_QUEUE_H_
