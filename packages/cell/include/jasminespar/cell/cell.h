/// @file
/// State machine of one owned cell: its calls, their gangs and their journal.
/// Pure: it performs no input or output and reads no clock.

#ifndef JASMINESPAR_CELL_CELL_H_
#define JASMINESPAR_CELL_CELL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "jasminespar/cell/messages.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::cell {

/// Rule that a test disables to show that the checks detect its absence.
enum class Mutation : std::uint8_t {
  kNone,
  kOrderBeforeDurable,
  kRetryUnknownNonIdempotent,
  kReleaseBeforeAllHeld,
};

inline constexpr NameTable<Mutation, 4> kMutationNames{{
    {Mutation::kNone, "none",
     "Every rule holds; the only value for production."},
    {Mutation::kOrderBeforeDurable, "order_before_durable",
     "Orders a non-idempotent attempt before its record is durable."},
    {Mutation::kRetryUnknownNonIdempotent, "retry_unknown_non_idempotent",
     "Runs a non-idempotent call again after an unknown attempt."},
    {Mutation::kReleaseBeforeAllHeld, "release_before_all_held",
     "Releases a gang when its first member is held."},
}};
static_assert(IsDense(kMutationNames));

struct CellSettings {
  scheduling::PolicySettings policy;
  Duration hold = 3s;              ///< How long workers hold a prepared task.
  Duration recovery_timeout = 2s;  ///< Longest wait for worker reports.
  Duration worker_lease = 10s;     ///< A silent worker is lost after it.
  std::uint32_t max_attempts = 4;  ///< Failed attempts before a call ends.
  std::uint32_t max_live_calls = 200'000;
  Duration default_retention = 10min;
  Duration orphan_grace = 30s;  ///< How long an orphan waits for its caller.
  Mutation mutation = Mutation::kNone;
};

/// What the owner read from the store when it claimed the cell.
struct RecoveredState {
  std::vector<JournalRecord> records;  ///< Snapshot and tail, oldest first.
};

/// Both clocks at one instant.
struct Now {
  TimePoint steady;
  WallTime wall;
};

/// One owned cell under one epoch. Not thread-safe: one duty owns it.
///
/// Starts in recovery: schedules nothing until every listed worker has reported
/// or `recovery_timeout` has passed. The accelerators of a worker that has not
/// reported stay unused until it reports; its tasks count as lost once its
/// lease expires.
class Cell {
 public:
  Cell(const CellSettings& settings, Epoch epoch,
       configuration::CellTopology topology, configuration::CellShare share,
       RecoveredState recovered, Now now);
  ~Cell();
  Cell(Cell&&) noexcept;
  Cell& operator=(Cell&&) noexcept;

  /// Processes one input, all timers that are due, and the scheduler's
  /// decisions.
  /// @return the effects to perform, in order.
  /// @throws std::logic_error when an invariant of the cell does not hold.
  [[nodiscard]] std::vector<Effect> Handle(Input input, Now now);

  /// @return latest time of the next Tick, or nothing when none is needed.
  [[nodiscard]] std::optional<TimePoint> NextTick(TimePoint now) const;

  [[nodiscard]] scheduling::LoadSummary Summary(TimePoint now) const;
  [[nodiscard]] bool recovering() const noexcept;
  [[nodiscard]] Epoch epoch() const noexcept;

  /// @return whether the handover may finish: it has begun, the journal is
  ///     durable and no gang is being prepared. Running gangs continue; the
  ///     next owner adopts them, and callers that wait for their answers ask
  ///     it.
  [[nodiscard]] bool quiescent() const noexcept;

  /// @return the records of a snapshot: they rebuild the cell without its
  ///     journal.
  [[nodiscard]] std::vector<JournalRecord> SnapshotRecords() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_CELL_H_
