/// @file
/// Decides when an instance claims a cell, keeps it and lets it go.

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
  /// Counts the writes of one process, so that it can tell its own. Every
  /// write of an owner changes the row, and so shows that it lives.
  std::uint64_t write = 0;
  bool operator==(const OwnerRow&) const = default;
};

struct OwnershipSettings {
  Duration beat_interval = 500ms;    ///< Between the owner's writes.
  Duration takeover_after = 3500ms;  ///< Of silence in the table.
  /// Of silence in the table and among peers.
  Duration quick_takeover_after = 1500ms;
  Duration rank_delay = 120ms;  ///< Between candidates, by their rank.
  Duration claim_backoff = 1s;  ///< After a claim without success.
  /// The owner starts nothing once its last confirmed sign of life is older.
  Duration start_limit = 1300ms;
  /// It renews no lease once that sign is older.
  Duration renew_limit = 6s;
};

// What to do now.
struct Wait {};
struct ClaimCell {
  RowVersion expected;
  Epoch epoch;
};
struct SendHeartbeat {};
using OwnershipAction = std::variant<Wait, ClaimCell, SendHeartbeat>;

/// Not thread-safe. One object a cell and process.
class Ownership {
 public:
  /// @param rank order among the candidates, from 0.
  Ownership(const OwnershipSettings& settings, InstanceId self,
            std::uint32_t rank, TimePoint now);

  /// The owner row was read.
  /// @return true when this instance has just lost the cell.
  bool HandleOwnerRow(const OwnerRow& row, RowVersion version, TimePoint now);

  /// The table was read and has no owner row.
  void HandleMissingOwnerRow(TimePoint now);

  /// A peer's sign of life came straight from it.
  void HandlePeerHeartbeat(const InstanceId& peer, TimePoint now) {
    if (peer == row_.owner) owner_heard_at_ = now;
  }

  /// The table answered something, so silence of the owner means silence.
  void RecordTableRead(TimePoint now) noexcept { last_table_ = now; }

  /// @return what to do next; the caller does it at once and reports its end.
  [[nodiscard]] OwnershipAction Next(TimePoint now);

  void ClaimSucceeded(const OwnerRow& row, RowVersion version,
                      TimePoint sent_at, TimePoint now);
  void ClaimFailed(TimePoint now);

  /// A write under the owner's condition was confirmed.
  void WriteSucceeded(const OwnerRow& row, RowVersion version,
                      TimePoint sent_at);

  /// The condition on the owner row failed: another instance has the cell.
  void HandleOwnershipLost(TimePoint now);

  /// No claim is made from here on.
  void StopClaiming() noexcept { leaving_ = true; }

  [[nodiscard]] bool owned() const noexcept { return owned_; }
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }
  [[nodiscard]] Authority AuthorityAt(TimePoint now) const noexcept {
    if (!owned_ || now - confirmed_at_ >= settings_.renew_limit) {
      return Authority::kNone;
    }
    return now - confirmed_at_ < settings_.start_limit ? Authority::kFull
                                                       : Authority::kKeep;
  }
  [[nodiscard]] Epoch epoch() const noexcept { return row_.epoch; }
  [[nodiscard]] RowVersion version() const noexcept { return version_; }
  [[nodiscard]] const OwnerRow& row() const noexcept { return row_; }

 private:
  OwnershipSettings settings_;
  InstanceId self_;
  std::uint32_t rank_;
  bool table_read_ = false;
  bool owned_ = false;
  bool leaving_ = false;
  OwnerRow row_;
  RowVersion version_;
  TimePoint last_life_;
  TimePoint owner_heard_at_;
  TimePoint last_table_;
  TimePoint confirmed_at_;
  TimePoint not_before_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_OWNERSHIP_H_
