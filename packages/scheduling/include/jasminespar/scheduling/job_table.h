/// @file
/// The jobs of a scheduler, by stable index.

#ifndef JASMINESPAR_SCHEDULING_JOB_TABLE_H_
#define JASMINESPAR_SCHEDULING_JOB_TABLE_H_

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/scheduling/allocator.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::scheduling {

enum class JobState : std::uint8_t {
  kNone,
  kWaiting,
  kClaiming,
  kReady,
  kRunning,
  kReclaiming,
};

inline constexpr NameTable<JobState, 6> kJobStateNames{{
    {JobState::kNone, "none", "No job has this slot."},
    {JobState::kWaiting, "waiting", "In the queue."},
    {JobState::kClaiming, "claiming", "Waits for victims to stop."},
    {JobState::kReady, "ready", "Starts at the next decision."},
    {JobState::kRunning, "running", "Started."},
    {JobState::kReclaiming, "reclaiming", "Asked to stop."},
}};
static_assert(IsDense(kJobStateNames));

/// A job and its scheduling state.
struct JobRecord {
  Job job;
  AccountIndex account = 0;
  JobState state = JobState::kWaiting;
  std::uint8_t level = 0;  ///< Service level at the time it was enqueued.
  TimePoint started;
  Duration attained{};  ///< Run time of earlier attempts.
  /// Accelerators counted in AccountState::borrowed.
  std::uint32_t charged = 0;
  std::size_t running_index = 0;  ///< Index in the list of started jobs.

  /// @return whether the job has not been started.
  [[nodiscard]] bool IsWaiting() const noexcept {
    return state == JobState::kWaiting || state == JobState::kClaiming ||
           state == JobState::kReady;
  }
};

/// Indices of erased jobs are used again. Not thread-safe.
class JobTable {
 public:
  /// @return the index of a job, or kNoJob.
  [[nodiscard]] JobIndex Find(const CallId& id) const {
    const auto found = index_.find(id);
    return found == index_.end() ? kNoJob : found->second;
  }
  [[nodiscard]] JobRecord& at(JobIndex job) { return records_[job]; }
  [[nodiscard]] const JobRecord& at(JobIndex job) const {
    return records_[job];
  }
  JobIndex Add(JobRecord record) {
    JobIndex job = static_cast<JobIndex>(records_.size());
    if (free_slots_.empty()) {
      records_.emplace_back();
    } else {
      job = free_slots_.back();
      free_slots_.pop_back();
    }
    index_[record.job.id] = job;
    records_[job] = std::move(record);
    return job;
  }
  void Erase(JobIndex job) {
    index_.erase(records_[job].job.id);
    records_[job] = JobRecord{};
    records_[job].state = JobState::kNone;
    free_slots_.push_back(job);
  }
  [[nodiscard]] std::size_t size() const noexcept { return index_.size(); }
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [id, job] : index_) visit(job, records_[job]);
  }

 private:
  std::vector<JobRecord> records_;
  std::vector<JobIndex> free_slots_;
  std::unordered_map<CallId, JobIndex> index_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_JOB_TABLE_H_
