/// @file
/// Holds the gangs of one cell on its accelerators and keeps the guarantees.

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

/// Number of a job in the scheduler's table.
using JobIndex = std::uint32_t;
inline constexpr JobIndex kNoJob = ~JobIndex{0};

/// Right by which a gang holds its accelerators.
enum class HoldClass : std::uint8_t { kGuaranteed, kFirm, kBorrowed };

inline constexpr NameTable<HoldClass, 3> kHoldClassNames{{
    {HoldClass::kGuaranteed, "guaranteed", "Inside its account's guarantee."},
    {HoldClass::kFirm, "firm", "Outside any guarantee; never reclaimed."},
    {HoldClass::kBorrowed, "borrowed", "Gives way to a guarantee."},
}};
static_assert(IsDense(kHoldClassNames));

enum class GangState : std::uint8_t { kNone, kClaiming, kHeld, kReclaiming };

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
  std::vector<Part> parts;
  std::vector<BindingUse> uses;
  std::uint32_t awaited = 0;  ///< Accelerators that victims still hold.
};

/// What an allocation made necessary.
struct Allocated {
  bool ready = false;              ///< The gang may start at once.
  std::vector<JobIndex> reclaim;   ///< Running gangs that must stop first.
  std::vector<JobIndex> returned;  ///< Claims that were given up.
};

/// Accelerators, by worker index, that a request may take from others.
using Displaceable = std::vector<std::uint64_t>;

/// Not thread-safe. Each member keeps the cover rule of VirtualClusters.
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
  /// @return the worker of rank 0.
  [[nodiscard]] WorkerId FirstWorker(JobIndex job) const {
    return tree_.workers()[gangs_[job].parts.front().worker].id;
  }

  /// Allocates within the account's guarantee.
  [[nodiscard]] std::optional<Allocated> AllocateGuaranteed(
      const GangRequest& request, ReclaimRule rule);
  /// Allocates free accelerators: borrowed if the gang is reclaimable, else
  /// firm, and then outside of what guarantees need.
  [[nodiscard]] std::optional<Allocated> AllocateSpare(
      const GangRequest& request);
  /// Like AllocateSpare, but may also take what others give way from.
  [[nodiscard]] std::optional<Allocated> AllocateDisplacing(
      const GangRequest& request, const Displaceable& displaceable);

  /// Frees a gang or gives up its claim.
  /// @return claims that have become ready.
  std::vector<JobIndex> Release(JobIndex job);

  /// Enters a gang found running. Parts on unknown workers are left out.
  /// @return whether any part is held.
  bool Adopt(const GangRequest& request, const std::vector<Part>& parts);

  /// @return claims that were given up since their workers cannot be used.
  std::vector<JobIndex> ApplyTopology(
      const configuration::CellTopology& topology);
  std::vector<JobIndex> SetQuarantined(WorkerIndex worker, bool quarantined);

  /// Replaces guarantees, by account index.
  void ApplyGuarantees(
      const std::vector<std::vector<configuration::Guarantee>>& guarantees);

  /// Keeps accelerators for one gang: only reclaimable work may go there.
  void SetReserved(const std::vector<Part>& parts);
  void ClearReserved();
  /// @return where the gang could run soonest, whoever is there now.
  [[nodiscard]] std::optional<std::vector<Part>> ChooseReservation(
      const GangRequest& request) const;

  /// @param wanted called with the holder of each accelerator.
  /// @return the accelerators of the part that wanted, borrowed gangs hold.
  template <typename Wanted>
  [[nodiscard]] std::uint64_t HeldBorrowed(const Part& part,
                                           Wanted wanted) const {
    std::uint64_t result = 0;
    for (std::uint64_t m = part.mask; m != 0; m &= m - 1) {
      const JobIndex holder = holder_[CellOf(part.worker, std::countr_zero(m))];
      if (holder == kNoJob || gangs_[holder].hold != HoldClass::kBorrowed) {
        continue;
      }
      if (wanted(holder)) result |= m & (~m + 1);
    }
    return result;
  }

  /// @return whether such a gang could run on the cell if it were empty.
  [[nodiscard]] bool IsPossible(const GangShape& shape) const;

  /// @return shapes of each level that are promised and not there: missing
  ///     from the cover, or bound to a place that has lost a worker.
  [[nodiscard]] LevelCounts Missing() const;

  /// Checks the running counters after a decision.
  /// @throws InvariantViolation
  void CheckDecision();
  /// Counts everything afresh.
  /// @throws InvariantViolation
  void CheckFully() const;

 private:
  using Cells = std::vector<JobIndex>;  ///< One entry for each accelerator.

  [[nodiscard]] Candidates SpareCandidates(
      const GangRequest& request, const Displaceable* displaceable) const;
  [[nodiscard]] std::optional<Allocated> Place(
      const GangRequest& request, const Displaceable* displaceable);
  Allocated Commit(const GangRequest& request, HoldClass hold,
                   std::vector<Part> parts, std::vector<BindingUse> uses);
  void GiveUpClaims(const std::vector<Part>& parts,
                    std::vector<JobIndex>& returned);
  void HoldPart(const Part& part, Gang& gang, std::vector<JobIndex>& victims);
  void ReleasePart(const Part& part, JobIndex job, bool firm,
                   std::vector<JobIndex>& ready);
  [[nodiscard]] std::vector<JobIndex> GiveUpUnusable();
  void DissolveDamaged();
  [[nodiscard]] bool IsDamaged(BindingId id) const;
  void DissolveWithdrawn();
  void DropUses(BindingId binding, bool to_borrowed);
  void Rebuild(const configuration::CellTopology& topology);
  [[nodiscard]] bool HasUnusable(const std::vector<Part>& parts) const;
  [[nodiscard]] Gang& Slot(JobIndex job);
  [[nodiscard]] static std::size_t CellOf(WorkerIndex worker, int bit) {
    return static_cast<std::size_t>(worker) *
               configuration::kMaxAcceleratorsPerWorker +
           static_cast<std::size_t>(bit);
  }

  CellTree tree_;
  VirtualClusters clusters_;
  PlacementPolicy placement_;
  Mutation mutation_;
  std::vector<Gang> gangs_;  ///< By job index.
  Cells holder_;
  Cells claimer_;
  std::vector<Part> reserved_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_ALLOCATOR_H_
