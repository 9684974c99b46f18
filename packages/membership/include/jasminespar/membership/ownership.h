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
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// Content of the ownership row of one cell in the platform's table.
struct OwnershipRow {
  CellId cell;
  InstanceId owner;  ///< Empty when the last owner gave the cell back.
  configuration::Address peer;
  Epoch epoch;  ///< Durable part only.
  /// Chosen anew for each write, so that a writer whose answer was lost
  /// recognises its own write when it reads the row back.
  std::uint64_t claim_id = 0;
  auto operator<=>(const OwnershipRow&) const = default;
};

/// A row with the table's version of it; version 0 means that there is none.
struct VersionedRow {
  OwnershipRow row;
  std::uint64_t version = 0;
  auto operator<=>(const VersionedRow&) const = default;
};

/// Read the row of the cell; answer with `RowRead` or `StoreFailed`.
struct ReadRow {
  CellId cell;
};

/// Write `row` if the row still has `expected_version`; answer with
/// `WriteCommitted`, `WriteConflicted`, `WriteUnknown` or `StoreFailed`.
/// When committed, this instance owns the cell under `row.epoch`.
struct ClaimCell {
  CellId cell;
  std::uint64_t expected_version = 0;
  OwnershipRow row;
};

/// Hand the owned cell over; answer with `HandoverFinished`.
struct YieldCell {
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
    std::variant<ReadRow, ClaimCell, YieldCell, ReleaseCell, DropCell>;

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
     "A claim without an answer is taken as won."},
}};
static_assert(IsDense(kOwnershipMutationNames));

struct OwnershipSettings {
  /// Added for each better-ranked candidate before this instance claims.
  Duration claim_stagger = 500ms;
  /// A row whose owner is neither listed nor heard is left alone so long.
  Duration unknown_owner_after = 2s;
  /// A row whose live owner does not say that it owns the cell, likewise.
  Duration silent_owner_after = 10s;
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
  [[nodiscard]] std::vector<OwnershipAction> RowRead(const CellId& cell,
                                                     const VersionedRow& read,
                                                     TimePoint now);

  void WriteCommitted(const CellId& cell, std::uint64_t version, TimePoint now);

  /// The condition failed: nothing was written by this request.
  [[nodiscard]] std::vector<OwnershipAction> WriteConflicted(
      const CellId& cell, const VersionedRow& present, TimePoint now);

  /// No answer came: the write may have happened; the row is read back.
  void WriteUnknown(const CellId& cell, TimePoint now);

  /// The store surely did nothing for the action in progress.
  void StoreFailed(const CellId& cell, TimePoint now);

  /// A store write or worker refused this instance's epoch of the cell.
  [[nodiscard]] std::vector<OwnershipAction> EpochRefused(const CellId& cell,
                                                          TimePoint now);

  /// Nothing is in progress in the yielded cell and its snapshot is written.
  void HandoverFinished(const CellId& cell, TimePoint now);

  /// Shutdown: yields every cell and claims none from now on.
  void BeginLeave() noexcept { leaving_ = true; }

  /// @return the cells owned now, each under the epoch that was won.
  [[nodiscard]] const std::map<CellId, HeldCell>& held() const noexcept {
    return held_;
  }

  /// @return since when the store has failed, or nothing while it answers.
  [[nodiscard]] std::optional<TimePoint> store_down_since() const noexcept {
    return store_down_since_;
  }

 private:
  enum class Pending : std::uint8_t { kNone, kRead, kClaim, kRelease };

  /// What the planner knows of one cell's row.
  struct CellRecord {
    std::optional<VersionedRow> row;
    TimePoint row_read;
    Pending pending = Pending::kNone;
    bool read_back = false;  ///< A write of ours has an unknown result.
    OwnershipRow written;    ///< The row of that write.
    bool handover_finished = false;
    /// Since when the row's owner does not do its duty, and why not.
    std::optional<TimePoint> vacant_since;
    /// Since when a better-ranked instance is live.
    std::optional<TimePoint> better_since;
    InstanceId better;
  };

  void PlanCell(const View& view, const CellId& cell, TimePoint now,
                std::vector<OwnershipAction>& actions);
  void PlanHeld(const View& view, const CellId& cell, TimePoint now,
                std::vector<OwnershipAction>& actions);
  void PlanOther(const View& view, const CellId& cell, TimePoint now,
                 std::vector<OwnershipAction>& actions);
  [[nodiscard]] bool ShouldYield(const View& view, const CellId& cell,
                                 CellRecord& record, TimePoint now) const;
  [[nodiscard]] bool IsVacant(const View& view, const CellId& cell,
                              CellRecord& record, TimePoint now) const;
  void Claim(const CellId& cell, CellRecord& record,
             std::vector<OwnershipAction>& actions);
  void Release(const CellId& cell, CellRecord& record,
               std::vector<OwnershipAction>& actions);
  void AcceptRow(const CellId& cell, const VersionedRow& row, TimePoint now,
                 std::vector<OwnershipAction>& actions);
  void Lose(const CellId& cell, std::vector<OwnershipAction>& actions);
  [[nodiscard]] std::uint64_t NextClaimId();
  [[nodiscard]] std::size_t handovers() const noexcept;

  OwnershipSettings settings_;
  InstanceId self_;
  configuration::Address peer_;
  std::uint64_t incarnation_;
  std::uint64_t claims_ = 0;
  bool leaving_ = false;
  std::map<CellId, CellRecord> records_;
  std::map<CellId, HeldCell> held_;
  std::optional<TimePoint> store_down_since_;
  TimePoint store_retry_;
  std::uint32_t store_failures_ = 0;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_OWNERSHIP_H_
