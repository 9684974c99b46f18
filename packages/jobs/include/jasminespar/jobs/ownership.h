/// @file
/// Decides when an instance claims a cell and when it renews its ownership.

#ifndef JASMINESPAR_JOBS_OWNERSHIP_H_
#define JASMINESPAR_JOBS_OWNERSHIP_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/dispatcher.h"

namespace jasminespar::jobs {

/// Version of a row of the table; 0: the row does not exist.
using RowVersion = NumericId<struct RowVersionTag>;

/// The row that names the owner of a cell.
struct OwnerRow {
  InstanceId owner;  ///< Empty: released.
  Epoch epoch;
  /// Number of this write in the writing process, so that a process recognises
  /// its own writes. Each write by the owner changes the row and so serves as a
  /// heartbeat.
  std::uint64_t write = 0;
  /// What the owners before this one can still do, from this write on. A
  /// process that finds its own name in the row knows of them only from here.
  PredecessorWindows predecessors;
  bool operator==(const OwnerRow&) const = default;
};

struct OwnershipSettings {
  /// Age of the last confirmed write at which the owner sends a heartbeat.
  Duration heartbeat_interval = 500ms;
  /// A cell is claimed when its owner row has not changed for this long.
  Duration takeover_timeout = 3500ms;
  /// The same, when heartbeats from the owner are missing for this long too.
  Duration quick_takeover_timeout = 1500ms;
  Duration rank_delay = 120ms;  ///< Added per rank before a claim.
  Duration claim_backoff = 1s;  ///< After a failed claim.
  /// The owner starts no task once its last confirmed heartbeat is older.
  Duration max_age_to_start = 1300ms;
  /// The owner renews no lease once its last confirmed heartbeat is older.
  Duration max_age_to_renew = 4s;
};

// Results of Ownership::Next.

struct Wait {};
/// Write `row` if the owner row still has the expected version.
struct ClaimCell {
  RowVersion expected;
  OwnerRow row;
};
/// Rewrite the owner row.
struct SendHeartbeat {};
using OwnershipAction = std::variant<Wait, ClaimCell, SendHeartbeat>;

/// State of one cell's ownership, as this instance knows it. Not thread-safe.
class Ownership {
 public:
  /// @param rank position among the candidates to claim the cell, from 0.
  Ownership(const OwnershipSettings& settings, InstanceId self,
            std::uint32_t rank, TimePoint now);

  /// Handles the owner row as read from the table.
  /// @return whether the row shows that this instance has just lost the cell.
  bool HandleOwnerRow(const OwnerRow& row, RowVersion version, TimePoint now);

  /// Handles a read of the table that found no owner row.
  void HandleMissingOwnerRow(TimePoint now);

  /// Handles a heartbeat received directly from a peer.
  void HandlePeerHeartbeat(const InstanceId& peer, TimePoint now) {
    if (peer == row_.owner) last_owner_heartbeat_ = now;
  }

  /// Records an answer of the table. Only while the table answers does an
  /// unchanged owner row prove that the owner is silent.
  void RecordTableRead(TimePoint now) noexcept { last_table_read_ = now; }

  /// @return the next action. The caller performs it at once and reports the
  ///     result of a write.
  [[nodiscard]] OwnershipAction Next(TimePoint now);

  /// A claim took effect. Its confirmation may arrive after a newer row has.
  /// @param sent_at when the confirmed write was sent; see AuthorityAt.
  /// @return whether this instance owns the cell now; false if another one has
  ///     written the row since.
  [[nodiscard]] bool ClaimSucceeded(const OwnerRow& row, RowVersion version,
                                    TimePoint sent_at, TimePoint now);
  void ClaimFailed(TimePoint now);

  /// A write by the owner that was conditional on the owner row was confirmed.
  void WriteSucceeded(const OwnerRow& row, RowVersion version,
                      TimePoint sent_at);

  /// The condition on the owner row failed: another instance owns the cell.
  void HandleOwnershipLost(TimePoint now);

  /// @return the row that renews the ownership if it is written now. Its number
  ///     of the write is not set.
  [[nodiscard]] OwnerRow RenewedRow(TimePoint now) const;

  /// @return the row that releases the cell if it is written now. Its number of
  ///     the write is not set.
  [[nodiscard]] OwnerRow ReleasedRow(TimePoint now) const;

  /// Makes no claim from now on.
  void StopClaiming() noexcept { leaving_ = true; }

  [[nodiscard]] bool owned() const noexcept { return owned_; }
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }
  /// @return what the owner may do, by the age of its last confirmed write.
  [[nodiscard]] Authority AuthorityAt(TimePoint now) const noexcept {
    if (!owned_ || now - confirmed_at_ >= settings_.max_age_to_renew) {
      return Authority::kNone;
    }
    return now - confirmed_at_ < settings_.max_age_to_start
               ? Authority::kFull
               : Authority::kRenewOnly;
  }
  /// @return until when an order decided now may be sent, unless a write is
  ///     confirmed meanwhile.
  [[nodiscard]] TimePoint OrderExpiry(const WorkerOrder& order) const noexcept {
    return confirmed_at_ + (std::holds_alternative<StartRun>(order)
                                ? settings_.max_age_to_start
                                : settings_.max_age_to_renew);
  }
  [[nodiscard]] Epoch epoch() const noexcept { return row_.epoch; }
  [[nodiscard]] RowVersion version() const noexcept { return version_; }
  [[nodiscard]] const OwnerRow& row() const noexcept { return row_; }

 private:
  /// @return what earlier owners can still do if the cell is claimed now.
  [[nodiscard]] PredecessorWindows WindowsAt(TimePoint now) const;

  /// Records the row that a confirmed write left, unless a newer one is known.
  /// @return whether the newest known row is of the same owner and epoch.
  bool RecordOwnRow(const OwnerRow& row, RowVersion version);

  OwnershipSettings settings_;
  InstanceId self_;
  std::uint32_t rank_;
  bool table_read_ = false;
  bool owned_ = false;
  bool leaving_ = false;
  OwnerRow row_;
  RowVersion version_;
  TimePoint last_row_change_;
  TimePoint last_owner_heartbeat_;
  TimePoint last_table_read_;
  TimePoint confirmed_at_;
  PredecessorWindows claimed_windows_;  ///< At `claim_sent_at_`.
  TimePoint claim_sent_at_;
  TimePoint earliest_claim_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_OWNERSHIP_H_
