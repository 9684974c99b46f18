/// @file
/// Decides which cells this instance claims and which it gives away.
///
/// Safety rests on the epoch alone: a claim is a conditional write that raises
/// it, and the store and the workers refuse a lower one. The planner therefore
/// may act on a wrong view; a wrong view costs a takeover, never correctness.

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

/// Hand the owned cell over; answer with `HandleHandoverFinished`.
struct StartHandover {
  CellId cell;
};

/// Write `row`, which has no owner, after a handover; answered as ClaimCell.
struct ReleaseCell {
  CellId cell;
  std::uint64_t expected_version = 0;
  OwnershipRow row;
};

/// The cell belongs to a higher epoch: stop it at once, without a handover.
struct DropCell {
  CellId cell;
  Epoch epoch;  ///< Under which it was held.
};

using OwnershipAction =
    std::variant<ReadRow, ClaimCell, StartHandover, ReleaseCell, DropCell>;

/// Rules that a proof switches off one at a time to show that it would notice.
enum class OwnershipMutation : std::uint8_t {
  kNone,
  kReuseEpoch,
  kBlindRetry,
};

inline constexpr NameTable<OwnershipMutation, 3> kOwnershipMutationNames{{
    {OwnershipMutation::kNone, "none", "Every rule holds."},
    {OwnershipMutation::kReuseEpoch, "reuse_epoch",
     "A claim keeps the epoch of the row."},
    {OwnershipMutation::kBlindRetry, "blind_retry",
     "A claim without an answer is sent again unread, and its conflict is "
     "taken for the success of the first one."},
}};
static_assert(IsDense(kOwnershipMutationNames));

struct OwnershipSettings {
  /// Added for each better-ranked candidate before this instance claims.
  Duration claim_stagger = 500ms;
  /// A row whose owner is neither listed nor heard is left alone so long.
  Duration unknown_owner_after = 2s;
  /// A row whose live owner does not say that it owns the cell, likewise.
  Duration silent_owner_after = 10s;
  /// An instance that released a cell leaves it to the others for so long.
  Duration reclaim_after = 5s;
  /// A cell of another data centre must be without a candidate of its own, by
  /// heartbeats and by the platform's list, for so long.
  Duration remote_after = 10s;
  Duration plan_interval = 200ms;
  Duration row_fresh = 1s;  ///< Older rows are read again before a claim.
  /// A better-ranked instance must be live so long before it gets a cell.
  Duration rebalance_after = 30s;
  std::size_t max_handovers = 1;   ///< For rebalancing, at once.
  Duration store_backoff = 250ms;  ///< After a failure; doubles.
  Duration store_backoff_limit = 5s;
  OwnershipMutation mutation = OwnershipMutation::kNone;
};

/// A cell that this instance owns.
struct HeldCell {
  Epoch epoch;
  std::uint64_t version = 0;  ///< Of the row that this instance wrote.
  bool yielding = false;
};

/// Plans ownership for one instance. Not thread-safe: one duty owns it.
class OwnershipPlanner {
 public:
  /// @param incarnation of this process; makes claim ids unique.
  OwnershipPlanner(const OwnershipSettings& settings, InstanceId self,
                   configuration::Address peer, std::uint64_t incarnation);

  /// @param cells all cells of the site.
  /// @return actions to perform; each store action is in progress until it is
  ///     answered, and is not returned again before.
  [[nodiscard]] std::vector<OwnershipAction> Plan(
      const View& view, const std::vector<CellId>& cells, TimePoint now);

  /// @return when to call Plan next if nothing else happens.
  [[nodiscard]] TimePoint NextPlan(TimePoint now) const;

  /// The row as read; version 0 when there is none. Also resolves a write
  /// whose answer was lost.
  /// @return what the row proves about this instance: DropCell when a cell
  ///     that it held has another owner.
  [[nodiscard]] std::vector<OwnershipAction> HandleRowRead(
      const CellId& cell, const VersionedRow& read, TimePoint now);

  void HandleWriteCommitted(const CellId& cell, std::uint64_t version,
                            TimePoint now);

  /// The condition failed: nothing was written by this request.
  [[nodiscard]] std::vector<OwnershipAction> HandleWriteConflict(
      const CellId& cell, const VersionedRow& present, TimePoint now);

  /// No answer came: the write may have happened; the row is read back.
  void HandleWriteUnknown(const CellId& cell, TimePoint now);

  /// The store surely did nothing for the action in progress.
  void HandleStoreFailure(const CellId& cell, TimePoint now);

  /// A store write or worker refused this instance's epoch of the cell.
  [[nodiscard]] std::vector<OwnershipAction> HandleEpochRefused(
      const CellId& cell, TimePoint now);

  /// Nothing is in progress in the yielded cell and its snapshot is written.
  void HandleHandoverFinished(const CellId& cell, TimePoint now);

  /// This instance holds the cell under a provisional epoch: it claims the
  /// cell as soon as the store answers, before any other candidate.
  void HoldProvisionally(const CellId& cell) { provisional_.insert(cell); }
  void EndProvisional(const CellId& cell) { provisional_.erase(cell); }

  /// Shutdown: yields every cell and claims none from now on.
  void BeginLeave() noexcept { leaving_ = true; }

  /// The shutdown was called off.
  void CancelLeave() noexcept { leaving_ = false; }

  /// @return the cells owned now, each under the epoch that was won.
  [[nodiscard]] const std::map<CellId, HeldCell>& owned_cells() const noexcept {
    return held_;
  }

  /// @return the epoch of the cell's row as last read or written; zero when
  ///     it is not known.
  [[nodiscard]] Epoch RowEpoch(const CellId& cell) const;

  /// @return since when the store has failed, or nothing while it answers.
  [[nodiscard]] std::optional<TimePoint> store_down_since() const noexcept {
    return store_down_since_;
  }

 private:
  /// The store action of a cell that is in progress.
  enum class Pending : std::uint8_t { kNone, kRead, kClaim, kRelease };

  /// What the planner knows of one cell's row.
  struct CellRecord {
    std::optional<VersionedRow> row;
    TimePoint row_read;
    Pending pending = Pending::kNone;
    bool read_back =
        false;  ///< Whether a write of ours took effect is unknown.
    std::uint64_t written_over = 0;  ///< Version that the write expected.
    OwnershipRow written;
    bool handover_finished = false;
    Vacancy vacancy = Vacancy::kNone;
    TimePoint vacancy_since;
    InstanceId better;  ///< Best-ranked instance, when it is another one.
    TimePoint better_since;
  };

  using Actions = std::vector<OwnershipAction>;

  void PlanHeld(const View& view, const Candidates& candidates,
                const CellId& cell, TimePoint now, Actions& actions);
  void PlanOther(const View& view, const Candidates& candidates,
                 const CellId& cell, TimePoint now, Actions& actions);
  [[nodiscard]] bool ShouldYield(const Candidates& candidates,
                                 const CellId& cell, CellRecord& record,
                                 TimePoint now) const;
  [[nodiscard]] Duration ClaimDelay(const View& view, const CellId& cell,
                                    const CellRecord& record,
                                    std::size_t rank) const;
  void ReadOrReadBack(const CellId& cell, CellRecord& record,
                      Actions& actions) const;
  void Claim(const CellId& cell, CellRecord& record, Actions& actions);
  void Release(const CellId& cell, CellRecord& record, Actions& actions);
  void AcceptWrite(const CellId& cell, CellRecord& record,
                   std::uint64_t version, TimePoint now);
  void AcceptRow(const CellId& cell, const VersionedRow& row, TimePoint now,
                 Actions& actions);
  void Lose(const CellId& cell, Actions& actions);
  void NoteStoreAnswers() noexcept;
  [[nodiscard]] bool StoreUsable(TimePoint now) const noexcept;
  [[nodiscard]] std::uint64_t NextClaimId();
  [[nodiscard]] std::size_t Handovers() const noexcept;

  OwnershipSettings settings_;
  InstanceId self_;
  configuration::Address peer_;
  std::uint64_t incarnation_;
  std::uint64_t claims_ = 0;
  bool leaving_ = false;
  bool told_to_leave_ = false;  ///< By the platform's list.
  std::map<CellId, CellRecord> records_;
  std::map<CellId, HeldCell> held_;
  std::set<CellId> provisional_;
  std::optional<TimePoint> store_down_since_;
  TimePoint store_retry_;
  std::uint32_t store_failures_ = 0;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_OWNERSHIP_H_
