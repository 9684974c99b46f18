/// @file
/// State of a Scheduler: the parts of the package joined together.

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
#include "jasminespar/scheduling/drain_rate.h"
#include "jasminespar/scheduling/job_table.h"
#include "jasminespar/scheduling/run_time_model.h"
#include "jasminespar/scheduling/scheduler.h"
#include "jasminespar/scheduling/waiting_queue.h"
#include "jasminespar/scheduling/worker_health.h"

namespace jasminespar::scheduling {

/// A client account as this cell sees it.
struct AccountState {
  ClientAccountId id;
  double weight = 1.0;
  std::uint32_t max_waiting = 10'000;
  std::uint32_t borrowed = 0;  ///< Accelerators held outside its guarantee.
  bool has_guarantee = false;

  [[nodiscard]] double Share() const noexcept { return borrowed / weight; }
};

/// The one large gang for which accelerators are being kept.
struct Reservation {
  JobIndex job = kNoJob;
  TimePoint made;
  std::vector<Part> parts;
};

/// Moment at which a waiting job gains a right and must be tried again.
struct Timer {
  TimePoint at;
  JobIndex job = kNoJob;
  std::uint64_t entry = 0;  ///< Tells the job from a later one in its slot.
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
  [[nodiscard]] std::vector<GuaranteeFault> GuaranteeFaults() const;
  [[nodiscard]] std::optional<std::string> Explain(const CallId& id,
                                                   TimePoint now) const;

 private:
  /// Gangs found not to fit, since the last time accelerators were freed:
  /// the smallest of each adjacency and right; larger ones do not fit either.
  class Misses {
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
  [[nodiscard]] std::optional<Refusal> Refuse(const JobRecord& record,
                                              TimePoint now) const;
  [[nodiscard]] std::optional<Refusal> RefuseDeadline(
      const RefuseUnreachableDeadline& policy, const JobRecord& record,
      TimePoint now) const;
  [[nodiscard]] Duration DrainTime(const JobRecord& record,
                                   TimePoint now) const;
  [[nodiscard]] std::uint8_t LevelOf(const Job& job, Duration attained) const;

  // decide.cc
  void DropExpired(TimePoint now);
  void EndQuarantines(TimePoint now);
  void RunPolicy(TimePoint now);
  void RunInOrder(TimePoint now);
  void RunBackfill(const DeclaredBackfill& policy, TimePoint now);
  void RunLeastAttained(const LeastAttainedService& policy, TimePoint now);
  void ServeReservation(TimePoint now);
  void MakeReservation(TimePoint now);
  [[nodiscard]] bool TryStart(JobIndex job, TimePoint now);
  [[nodiscard]] std::optional<Allocated> Allocate(JobIndex job, TimePoint now);
  [[nodiscard]] bool HasGuaranteeRoom(AccountIndex account,
                                      const GangShape& shape) const;
  void GiveWay(const LeastAttainedService& policy, TimePoint now);
  [[nodiscard]] Displaceable Giving(const LeastAttainedService& policy,
                                    std::uint8_t level, TimePoint now) const;
  [[nodiscard]] std::optional<Allocated> AllocateUrgent(
      const GangRequest& request, Priority priority);
  void Started(JobIndex job, const Allocated& allocated, TimePoint now);
  void StartNow(JobIndex job, TimePoint now);
  [[nodiscard]] bool MayFit(const BucketKey& key) const;
  [[nodiscard]] TimePoint DeclaredStart(JobIndex head, TimePoint now) const;
  [[nodiscard]] GangRequest RequestOf(JobIndex job) const;

  // state.cc
  [[nodiscard]] AccountIndex AccountOf(const ClientAccountId& id);
  void ReturnClaims(const std::vector<JobIndex>& returned);
  void MarkReady(const std::vector<JobIndex>& ready);
  void NoteFreed();
  void AddRunning(JobIndex job);
  void RemoveRunning(JobIndex job);
  void SetTimers(JobIndex job);
  void SetTimers(const LeastAttainedService& policy, JobIndex job);
  void TakeTimers(TimePoint now);
  [[nodiscard]] bool IsStale(const Timer& timer) const;
  [[nodiscard]] bool DelaysReclaim(const JobRecord& record) const;
  void Charge(JobIndex job);
  void Discharge(JobIndex job);

  PolicySettings settings_;
  Allocator allocator_;
  JobTable jobs_;
  WaitingQueue queue_;
  RunTimeModel run_times_;
  DrainRate drain_;
  WorkerHealth health_;
  std::vector<AccountState> accounts_;
  std::unordered_map<ClientAccountId, AccountIndex> account_index_;
  std::unordered_map<CallId, Duration> attained_;  ///< Of reclaimed jobs.
  std::vector<JobIndex> ready_;      ///< Claims whose victims are gone.
  std::vector<JobIndex> new_heads_;  ///< First of their bucket since.
  std::vector<Action> actions_;
  std::optional<Reservation> reservation_;
  Misses misses_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  bool freed_ = true;       ///< Accelerators or rights changed since.
  bool full_pass_ = false;  ///< Every bucket is looked at in this pass.
  Duration reclaim_delay_{};
  TimePoint last_give_way_;
  std::vector<JobIndex> running_;  ///< In no order; see running_at.
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_SRC_SCHEDULER_STATE_H_
