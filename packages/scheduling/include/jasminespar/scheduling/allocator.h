/// @file
/// Assigns the accelerators of one cell to gangs and enforces the guarantees.

#ifndef JASMINESPAR_SCHEDULING_ALLOCATOR_H_
#define JASMINESPAR_SCHEDULING_ALLOCATOR_H_

#include <array>
#include <bit>
#include <cstdint>
#include <optional>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/scheduling/cell_tree.h"
#include "jasminespar/scheduling/guarantee_plan.h"
#include "jasminespar/scheduling/placement.h"
#include "jasminespar/scheduling/policy.h"
#include "jasminespar/scheduling/virtual_clusters.h"

namespace jasminespar::scheduling {

/// Index of a job in the scheduler's JobTable.
using JobIndex = std::uint32_t;
inline constexpr JobIndex kNoJob = ~JobIndex{0};

/// Whether and why the accelerators of a gang may be reclaimed.
enum class HoldClass : std::uint8_t { kGuaranteed, kFirm, kBorrowed };

inline constexpr NameTable<HoldClass, 3> kHoldClassNames{{
    {HoldClass::kGuaranteed, "guaranteed", "Inside its account's guarantee."},
    {HoldClass::kFirm, "firm", "Outside any guarantee; never reclaimed."},
    {HoldClass::kBorrowed, "borrowed", "May be reclaimed for a guarantee."},
}};
static_assert(IsDense(kHoldClassNames));

/// kNone: holds nothing. kClaiming: some of its accelerators are still held by
/// gangs that are being reclaimed. kHeld: holds all of them. kReclaiming: holds
/// all of them and has been asked to stop.
enum class GangState : std::uint8_t { kNone, kClaiming, kHeld, kReclaiming };

/// Accelerators that a job asks for.
struct GangRequest {
  JobIndex job = kNoJob;
  AccountIndex account = 0;
  GangShape shape;
  bool reclaimable = true;
};

/// A gang that holds or claims accelerators.
struct Gang {
  GangState state = GangState::kNone;
  HoldClass hold = HoldClass::kBorrowed;
  GangRequest request;
  std::vector<GangPart> parts;
  std::vector<BindingUse> uses;
  /// Claimed accelerators that victims still hold.
  std::uint32_t pending_accelerators = 0;
};

/// Result of a successful allocation and the actions that it requires.
struct AllocationResult {
  bool ready = false;             ///< The gang can start now.
  std::vector<JobIndex> victims;  ///< Running gangs that must stop first.
  std::vector<JobIndex> cancelled_claims;  ///< Must wait again.
};

/// Accelerators that a request may take from running gangs, as one mask for
/// each worker index.
using PreemptibleMasks = std::vector<std::uint64_t>;

/// Not thread-safe. Every member function preserves the feasibility rule of
/// VirtualClusters.
class Allocator {
 public:
  Allocator(const configuration::CellTopology& topology,
            const PlacementPolicy& placement, Mutation mutation);

  [[nodiscard]] const CellTree& tree() const noexcept { return tree_; }
  [[nodiscard]] const VirtualClusters& clusters() const noexcept {
    return clusters_;
  }
  [[nodiscard]] const Gang& gang(JobIndex job) const { return gangs_.at(job); }
  [[nodiscard]] bool Holds(JobIndex job) const {
    return job < gangs_.size() && gangs_[job].state != GangState::kNone;
  }

  /// @param job a job that holds accelerators.
  /// @return the worker that runs rank 0.
  [[nodiscard]] WorkerId FirstWorker(JobIndex job) const {
    return tree_.workers()[gangs_[job].parts.front().worker].id;
  }

  /// Allocates within the account's guarantee.
  /// @return nothing if no unused guaranteed shape can be bound for the gang.
  [[nodiscard]] std::optional<AllocationResult> AllocateGuaranteed(
      const GangRequest& request, ReclaimRule rule);
  /// Allocates free accelerators outside the guarantee. A reclaimable gang
  /// borrows them; any other gang holds them as kFirm and gets only
  /// accelerators that no guarantee needs.
  /// @return nothing if the free accelerators do not suffice.
  [[nodiscard]] std::optional<AllocationResult> AllocateFree(
      const GangRequest& request);
  /// Like AllocateFree, but may also take the accelerators in `preemptible`,
  /// whose holders must then stop.
  [[nodiscard]] std::optional<AllocationResult> AllocatePreempting(
      const GangRequest& request, const PreemptibleMasks& preemptible);

  /// Frees the accelerators of a gang or cancels its claim.
  /// @return gangs that now hold all accelerators that they claimed.
  std::vector<JobIndex> Release(JobIndex job);

  /// Records a gang that already runs. Accelerators that do not exist or are
  /// held by another gang are left out.
  /// @return false if none are left; nothing is recorded then.
  bool Adopt(const GangRequest& request, const std::vector<GangPart>& parts);

  /// @return gangs whose claims were cancelled, because a worker has become
  ///     unusable or the set of workers has changed.
  std::vector<JobIndex> ApplyTopology(
      const configuration::CellTopology& topology);
  /// @return gangs whose claims were cancelled, because they have a part on an
  ///     unusable worker.
  std::vector<JobIndex> SetQuarantined(WorkerIndex worker, bool quarantined);

  /// Replaces all guarantees.
  /// @param guarantees guarantees of each account, by account index.
  void ApplyGuarantees(
      const std::vector<std::vector<configuration::Guarantee>>& guarantees);

  /// Reserves accelerators for one gang, in place of the earlier reservation.
  /// Other gangs may run there only if they are reclaimable.
  void SetReserved(const std::vector<GangPart>& parts);
  void ClearReserved();
  /// @return the placement with the most free accelerators, regardless of the
  ///     gangs that hold the rest.
  [[nodiscard]] std::optional<std::vector<GangPart>> ChooseReservation(
      const GangRequest& request) const;

  /// @param wanted predicate on the job that holds an accelerator.
  /// @return mask of the accelerators in `part` that borrowed gangs hold for
  ///     which `wanted` is true.
  template <typename Wanted>
  [[nodiscard]] std::uint64_t HeldBorrowed(const GangPart& part,
                                           Wanted wanted) const {
    std::uint64_t result = 0;
    for (std::uint64_t m = part.mask; m != 0; m &= m - 1) {
      const JobIndex holder =
          holder_[IndexOf(part.worker, std::countr_zero(m))];
      if (holder == kNoJob || gangs_[holder].hold != HoldClass::kBorrowed) {
        continue;
      }
      if (wanted(holder)) result |= m & (~m + 1);
    }
    return result;
  }

  /// @return whether such a gang could run on an empty cell with every listed
  ///     worker in use.
  [[nodiscard]] bool IsPossible(const GangShape& shape) const;

  /// @return guaranteed shapes of each level that the cell cannot provide:
  ///     unbound ones that cannot be bound, and bound ones with an unusable
  ///     worker.
  [[nodiscard]] LevelCounts MissingShapes() const;

  /// Checks the feasibility rule on the incremental counters, to be called
  /// after each decision.
  /// @throws InvariantViolation
  void CheckDecision();
  /// Recounts the state from the gangs and compares it with the counters.
  /// @throws InvariantViolation
  void CheckFully() const;

 private:
  /// One job index for each accelerator, at IndexOf(worker, bit).
  using JobPerAccelerator = std::vector<JobIndex>;

  [[nodiscard]] Candidates FindCandidates(
      const GangRequest& request, const PreemptibleMasks* preemptible) const;
  [[nodiscard]] std::optional<AllocationResult> PlaceOutsideGuarantee(
      const GangRequest& request, const PreemptibleMasks* preemptible);
  AllocationResult Commit(const GangRequest& request, HoldClass hold,
                          std::vector<GangPart> parts,
                          std::vector<BindingUse> uses);
  void CancelClaims(const std::vector<GangPart>& parts,
                    std::vector<JobIndex>& cancelled_claims);
  void HoldPart(const GangPart& part, Gang& gang,
                std::vector<JobIndex>& victims);
  void ReleasePart(const GangPart& part, JobIndex job, bool nonreclaimable,
                   std::vector<JobIndex>& ready);
  [[nodiscard]] std::vector<JobIndex> CancelUnusableClaims();
  void UnbindDamaged();
  [[nodiscard]] bool IsDamaged(BindingId id) const;
  void UnbindWithdrawn();
  /// Removes the uses of a binding from all gangs.
  /// @param to_borrowed whether a reclaimable gang that has no use left becomes
  ///     borrowed.
  void RemoveUses(BindingId binding, bool to_borrowed);
  void Rebuild(const configuration::CellTopology& topology);
  [[nodiscard]] bool HasUnusable(const std::vector<GangPart>& parts) const;
  [[nodiscard]] Gang& MutableGang(JobIndex job);
  [[nodiscard]] static std::size_t IndexOf(WorkerIndex worker, int bit) {
    return static_cast<std::size_t>(worker) *
               configuration::kMaxAcceleratorsPerWorker +
           static_cast<std::size_t>(bit);
  }

  CellTree tree_;
  VirtualClusters clusters_;
  PlacementPolicy placement_;
  Mutation mutation_;
  std::vector<Gang> gangs_;    ///< By job index.
  JobPerAccelerator holder_;   ///< Gang that holds the accelerator.
  JobPerAccelerator claimer_;  ///< Gang that gets it once it is released.
  std::vector<GangPart> reserved_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_ALLOCATOR_H_
