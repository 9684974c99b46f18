/// @file
/// Implementation of Scheduler on top of the allocator, queue and estimators.

#ifndef JASMINESPAR_SCHEDULING_SRC_SCHEDULER_STATE_H_
#define JASMINESPAR_SCHEDULING_SRC_SCHEDULER_STATE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminespar/scheduling/allocator.h"
#include "jasminespar/scheduling/job_table.h"
#include "jasminespar/scheduling/run_time_model.h"
#include "jasminespar/scheduling/scheduler.h"
#include "jasminespar/scheduling/start_rate.h"
#include "jasminespar/scheduling/waiting_queue.h"
#include "jasminespar/scheduling/worker_health.h"

namespace jasminespar::scheduling {

/// Share and usage of a client account in this cell.
struct AccountState {
  ClientAccountId id;
  double weight = 1.0;
  std::uint32_t max_waiting = 10'000;
  std::uint32_t borrowed = 0;  ///< Accelerators held outside its guarantee.
  bool has_guarantee = false;

  [[nodiscard]] double WeightedShare() const noexcept {
    return borrowed / weight;
  }
};

/// The gang for which accelerators are reserved; at most one at a time.
struct Reservation {
  JobIndex job = kNoJob;
  TimePoint created_at;
  std::vector<GangPart> parts;
};

/// Time at which a waiting job becomes eligible for a reservation, preemption
/// or reclaim and must be tried again.
struct Timer {
  TimePoint at;
  JobIndex job = kNoJob;
  std::uint64_t sequence = 0;  ///< Of the insertion; detects stale timers.
  auto operator<=>(const Timer&) const = default;
};

class Scheduler::State {
 public:
  State(const PolicySettings& settings,
        const configuration::CellTopology& topology);

  void ApplyTopology(const configuration::CellTopology& topology);
  void ApplyShare(const configuration::CellShare& share);
  std::optional<Refusal> Enqueue(const Job& job, TimePoint now);
  bool Remove(const CallId& id);
  void Adopt(const Job& job, const Placement& placement, TimePoint now);
  void Release(const CallId& id, TimePoint now);
  void RecordResult(const CallId& id, WorkerId worker, TaskResult result,
                    TimePoint now);
  [[nodiscard]] bool IsPoison(const CallId& id) const;
  std::vector<Action> Decide(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextDecision(TimePoint now) const;
  [[nodiscard]] LoadSummary Summary(TimePoint now) const;
  [[nodiscard]] std::vector<GuaranteeDeficit> GuaranteeDeficits() const;
  [[nodiscard]] std::optional<std::string> Explain(const CallId& id,
                                                   TimePoint now) const;

 private:
  /// Gangs that did not fit since accelerators were last freed. Holds
  /// the smallest size for each adjacency and reclaimability; larger gangs do
  /// not fit either.
  class UnplaceableShapes {
   public:
    [[nodiscard]] bool Contains(const GangRequest& request) const {
      const int smallest = smallest_[IndexOf(request)];
      return smallest > 0 && request.shape.accelerators >= smallest;
    }
    void Add(const GangRequest& request) {
      smallest_[IndexOf(request)] = request.shape.accelerators;
    }
    void Clear() { smallest_.fill(0); }

   private:
    static std::size_t IndexOf(const GangRequest& request) {
      return static_cast<std::size_t>(request.shape.adjacency) * 2 +
             (request.reclaimable ? 1 : 0);
    }
    std::array<int, kAdjacencyNames.size() * 2> smallest_{};
  };

  // admission.cc
  [[nodiscard]] std::optional<Refusal> CheckAdmission(const JobRecord& record,
                                                      TimePoint now) const;
  [[nodiscard]] std::optional<Refusal> CheckDeadline(
      const RefuseUnreachableDeadline& policy, const JobRecord& record,
      TimePoint now) const;
  [[nodiscard]] Duration EstimateRetryDelay(const JobRecord& record,
                                            TimePoint now) const;
  [[nodiscard]] std::uint8_t LevelOf(const Job& job, Duration attained) const;

  // decide.cc and least_attained.cc
  void DropExpired(TimePoint now);
  void EndQuarantines(TimePoint now);
  void RunPolicy(TimePoint now);
  void RunInOrder(TimePoint now);
  void RunBackfill(const DeclaredBackfill& policy, TimePoint now);
  void RunLeastAttained(const LeastAttainedService& policy, TimePoint now);
  void ProcessReservation(TimePoint now);
  void MakeReservation(TimePoint now);
  [[nodiscard]] bool TryStart(JobIndex job, TimePoint now);
  [[nodiscard]] std::optional<AllocationResult> Allocate(JobIndex job,
                                                         TimePoint now);
  [[nodiscard]] bool FitsUnusedGuarantee(AccountIndex account,
                                         const GangShape& shape) const;
  void PreemptForShortJobs(const LeastAttainedService& policy, TimePoint now);
  [[nodiscard]] PreemptibleMasks FindPreemptible(
      const LeastAttainedService& policy, std::uint8_t level,
      TimePoint now) const;
  [[nodiscard]] std::optional<AllocationResult> AllocateUrgent(
      const GangRequest& request, Priority priority);
  void ApplyAllocation(JobIndex job, const AllocationResult& allocated,
                       TimePoint now);
  void StartAllocated(JobIndex job, TimePoint now);
  /// @return false only if no job of the bucket can start at present.
  [[nodiscard]] bool MayFit(const BucketKey& key) const;
  [[nodiscard]] TimePoint DeclaredStart(JobIndex head, TimePoint now) const;
  [[nodiscard]] GangRequest RequestOf(JobIndex job) const;

  // scheduler_state.cc
  [[nodiscard]] AccountIndex AccountOf(const ClientAccountId& id);
  void RequeueCancelledClaims(const std::vector<JobIndex>& cancelled_claims);
  void MarkReady(const std::vector<JobIndex>& ready);
  void RecordFreedCapacity();
  void AddRunning(JobIndex job);
  void RemoveRunning(JobIndex job);
  void SetTimers(JobIndex job);
  void SetTimers(const LeastAttainedService& policy, JobIndex job);
  void HandleExpiredTimers(TimePoint now);
  [[nodiscard]] bool IsStale(const Timer& timer) const;
  [[nodiscard]] bool DelaysReclaim(const JobRecord& record) const;
  void ChargeAccount(JobIndex job);
  void CreditAccount(JobIndex job);

  PolicySettings settings_;
  Allocator allocator_;
  JobTable jobs_;
  WaitingQueue queue_;
  RunTimeModel run_times_;
  StartRate start_rate_;
  WorkerHealth health_;
  std::vector<AccountState> accounts_;
  std::unordered_map<ClientAccountId, AccountIndex> account_index_;
  /// Run time of reclaimed jobs that may return.
  std::unordered_map<CallId, Duration> attained_;
  std::vector<JobIndex> ready_;      ///< Claims whose victims have all stopped.
  std::vector<JobIndex> new_heads_;  ///< Became first of their bucket.
  std::vector<Action> actions_;
  std::optional<Reservation> reservation_;
  UnplaceableShapes unplaceable_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  /// Accelerators or eligibility changed since the last full pass.
  bool needs_full_pass_ = true;
  bool full_pass_ = false;  ///< This pass considers every bucket.
  Duration reclaim_delay_{};
  TimePoint last_preemption_;
  std::vector<JobIndex> running_;  ///< Unordered; see running_index.
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_SRC_SCHEDULER_STATE_H_
