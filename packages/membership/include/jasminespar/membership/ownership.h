/// @file
/// Decides which cells this instance claims and which it hands over.
///
/// Safety depends on the epoch alone: a claim is a conditional write that
/// raises it, and the store and the workers refuse a lower one. The planner may
/// therefore act on a wrong view; the cost is a needless takeover, never a
/// violation of safety.

#ifndef JASMINESPAR_MEMBERSHIP_OWNERSHIP_H_
#define JASMINESPAR_MEMBERSHIP_OWNERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/membership/candidates.h"
#include "jasminespar/membership/ownership_row.h"
#include "jasminespar/membership/vacancy.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// Read the row of the cell; answer with `HandleRowRead` or
/// `HandleStoreFailure`.
struct ReadRow {
  CellId cell;
};

/// Write `row` if the row still has `expected_version`; answer with
/// `HandleWriteCommitted`, `HandleWriteConflict`, `HandleWriteUnknown` or
/// `HandleStoreFailure`. When committed, this instance owns the cell under
/// `row.epoch`.
struct ClaimCell {
  CellId cell;
  std::uint64_t expected_version = 0;
  OwnershipRow row;
};

/// Stop admitting work in the owned cell, finish what is in progress and write
/// the snapshot; then call `HandleHandoverFinished`.
struct StartHandover {
  CellId cell;
};

/// Write `row`, which has no owner, after a handover; the result is reported as
/// that of ClaimCell.
struct ReleaseCell {
  CellId cell;
  std::uint64_t expected_version = 0;
  OwnershipRow row;
};

/// A higher epoch of the cell exists: stop serving it at once, without a
/// handover.
struct DropCell {
  CellId cell;
  Epoch epoch;  ///< Under which this instance owned it.
};

using OwnershipAction =
    std::variant<ReadRow, ClaimCell, StartHandover, ReleaseCell, DropCell>;

/// Faults that a test injects one at a time to show that its checks detect
/// them.
enum class OwnershipMutation : std::uint8_t {
  kNone,
  kReuseEpoch,
  kBlindRetry,
};

inline constexpr NameTable<OwnershipMutation, 3> kOwnershipMutationNames{{
    {OwnershipMutation::kNone, "none", "No fault."},
    {OwnershipMutation::kReuseEpoch, "reuse_epoch",
     "A claim does not raise the epoch of the row."},
    {OwnershipMutation::kBlindRetry, "blind_retry",
     "A claim without an answer is repeated without reading the row, and a "
     "conflict counts as success of the first attempt."},
}};
static_assert(IsDense(kOwnershipMutationNames));

struct OwnershipSettings {
  /// Added to the claim delay for each candidate that ranks before this
  /// instance.
  Duration claim_stagger = 500ms;
  /// Claim delay when the row's owner is not listed and sends no heartbeat.
  Duration unknown_owner_delay = 2s;
  /// Claim delay when the row's owner is alive but its heartbeats do not name
  /// the cell.
  Duration silent_owner_delay = 10s;
  /// Minimum claim delay for a cell that this instance released itself, so that
  /// others can claim it first.
  Duration own_release_delay = 5s;
  /// Added to the claim delay for a cell of another data centre, which then has
  /// no candidate of its own by heartbeats and by the platform's list.
  Duration remote_claim_delay = 10s;
  Duration plan_interval = 200ms;
  /// Rows that were read longer ago are read again before a claim.
  Duration max_row_age = 1s;
  /// How long a better-ranked instance must be live before it gets a cell.
  Duration rebalance_delay = 30s;
  /// No handover for rebalancing starts while so many handovers are running.
  std::size_t max_concurrent_handovers = 1;
  Duration store_backoff_base = 250ms;  ///< Doubles with each failure.
  Duration store_backoff_limit = 5s;
  OwnershipMutation mutation = OwnershipMutation::kNone;
};

/// This instance's ownership of a cell.
struct CellOwnership {
  Epoch epoch;
  std::uint64_t row_version = 0;  ///< Of the row that this instance wrote.
  bool handing_over = false;
};

/// Plans the ownership of cells by one instance. Not thread-safe: one duty owns
/// it.
class OwnershipPlanner {
 public:
  /// @param peer the address that this instance's rows give to other
  ///     instances.
  /// @param incarnation of this process; makes claim ids unique.
  OwnershipPlanner(const OwnershipSettings& settings, InstanceId self,
                   configuration::Address peer, std::uint64_t incarnation);

  /// @param cells all cells of the site.
  /// @return actions to perform. No further store action is returned for a
  ///     cell until the result of the last one has been reported.
  [[nodiscard]] std::vector<OwnershipAction> Plan(
      const View& view, const std::vector<CellId>& cells, TimePoint now);

  /// @return when to call Plan next if no event arrives before.
  [[nodiscard]] TimePoint NextPlan(TimePoint now) const;

  /// Handles the row as read. Also determines whether a write that got no
  /// answer took effect.
  /// @param read version 0 when no row exists.
  /// @return DropCell when the row has changed under a cell that this instance
  ///     owned.
  [[nodiscard]] std::vector<OwnershipAction> HandleRowRead(
      const CellId& cell, const VersionedRow& read, TimePoint now);

  void HandleWriteCommitted(const CellId& cell, std::uint64_t version,
                            TimePoint now);

  /// Handles a failed condition: this request wrote nothing.
  /// @param present the row that the store has instead.
  /// @return as HandleRowRead.
  [[nodiscard]] std::vector<OwnershipAction> HandleWriteConflict(
      const CellId& cell, const VersionedRow& present, TimePoint now);

  /// Handles a write without an answer, which may have taken effect: Plan reads
  /// the row to find out.
  void HandleWriteUnknown(const CellId& cell, TimePoint now);

  /// Handles a store action that failed and certainly had no effect.
  void HandleStoreFailure(const CellId& cell, TimePoint now);

  /// Handles a refusal of this instance's epoch of the cell by the store or by
  /// a worker.
  [[nodiscard]] std::vector<OwnershipAction> HandleEpochRefused(
      const CellId& cell, TimePoint now);

  /// Handles the end of a handover: nothing is in progress in the cell and its
  /// snapshot is written.
  void HandleHandoverFinished(const CellId& cell, TimePoint now);

  /// Records that this instance serves the cell under a provisional epoch. It
  /// claims the cell as soon as the store answers, without the delays that
  /// apply to other candidates.
  void AddProvisionalCell(const CellId& cell) { provisional_.insert(cell); }
  void RemoveProvisionalCell(const CellId& cell) { provisional_.erase(cell); }

  /// For a shutdown: hands over every cell and claims none from now on.
  void BeginLeave() noexcept { leaving_ = true; }

  /// Reverts BeginLeave when the shutdown is cancelled.
  void CancelLeave() noexcept { leaving_ = false; }

  /// @return the cells owned now, with the epoch of each claim.
  [[nodiscard]] const std::map<CellId, CellOwnership>& owned_cells()
      const noexcept {
    return owned_cells_;
  }

  /// @return the epoch of the cell's row as last read or written; zero when the
  ///     row is not known.
  [[nodiscard]] Epoch RowEpoch(const CellId& cell) const;

  /// @return since when the store has been failing, or nothing while it
  ///     answers.
  [[nodiscard]] std::optional<TimePoint> store_down_since() const noexcept {
    return store_down_since_;
  }

 private:
  /// The store action of a cell that is in progress.
  enum class Pending : std::uint8_t { kNone, kRead, kClaim, kRelease };

  /// The planner's state for one cell.
  struct CellRecord {
    std::optional<VersionedRow> row;
    TimePoint row_read_at;
    Pending pending = Pending::kNone;
    /// The last write got no answer; the row must be read.
    bool write_unresolved = false;
    std::uint64_t expected_version = 0;  ///< Condition of the last write.
    OwnershipRow last_write;
    bool handover_finished = false;
    Vacancy vacancy = Vacancy::kNone;
    TimePoint vacancy_since;
    InstanceId preferred;  ///< Best-ranked candidate for an owned cell.
    TimePoint preferred_since;
  };

  using Actions = std::vector<OwnershipAction>;

  void PlanOwnedCell(const View& view, const Candidates& candidates,
                     const CellId& cell, TimePoint now, Actions& actions);
  void PlanUnownedCell(const View& view, const Candidates& candidates,
                       const CellId& cell, TimePoint now, Actions& actions);
  /// Also records the preferred owner and since when it is preferred.
  [[nodiscard]] bool ShouldHandOver(const Candidates& candidates,
                                    const CellId& cell, CellRecord& record,
                                    TimePoint now) const;
  /// @return how long the vacancy must last before this instance, of that rank,
  ///     claims the cell.
  [[nodiscard]] Duration ClaimDelay(const View& view, const CellId& cell,
                                    const CellRecord& record,
                                    std::size_t rank) const;
  void RequestRow(const CellId& cell, CellRecord& record,
                  Actions& actions) const;
  void StartClaim(const CellId& cell, CellRecord& record, Actions& actions);
  void StartRelease(const CellId& cell, CellRecord& record, Actions& actions);
  /// Applies the effect of the last write, which is known to be committed.
  void ApplyWrite(const CellId& cell, CellRecord& record, std::uint64_t version,
                  TimePoint now);
  /// Applies a row that this instance's last write did not produce.
  void ApplyRow(const CellId& cell, const VersionedRow& row, TimePoint now,
                Actions& actions);
  /// Removes the cell from the owned ones without a handover.
  void DropOwnership(const CellId& cell, Actions& actions);
  void ResetStoreFailures() noexcept;
  [[nodiscard]] bool CanUseStore(TimePoint now) const noexcept;
  [[nodiscard]] std::uint64_t NextClaimId();
  [[nodiscard]] std::size_t HandoverCount() const noexcept;

  OwnershipSettings settings_;
  InstanceId self_;
  configuration::Address peer_;
  std::uint64_t incarnation_;
  std::uint64_t claim_count_ = 0;
  bool leaving_ = false;
  bool marked_leaving_ = false;  ///< The last view shows `self_` as leaving.
  std::map<CellId, CellRecord> records_;
  std::map<CellId, CellOwnership> owned_cells_;
  std::set<CellId> provisional_;
  std::optional<TimePoint> store_down_since_;
  TimePoint next_store_attempt_;
  std::uint32_t store_failures_ = 0;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_OWNERSHIP_H_
