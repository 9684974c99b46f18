/// @file
/// State machine of one owned cell: the life of its calls, their gangs and
/// their journal. Pure; performs nothing itself.

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

/// Rule that a test switches off to show that its loss is noticed.
enum class Mutation : std::uint8_t {
  kNone,
  kOrderBeforeDurable,
  kRetryUnknownNonIdempotent,
  kReleaseBeforeAllHeld,
};

inline constexpr NameTable<Mutation, 4> kMutationNames{{
    {Mutation::kNone, "none", "Every rule holds; the only one for use."},
    {Mutation::kOrderBeforeDurable, "order_before_durable",
     "Orders a non-idempotent attempt before its record is durable."},
    {Mutation::kRetryUnknownNonIdempotent, "retry_unknown_non_idempotent",
     "Runs a non-idempotent call again after an unknown attempt."},
    {Mutation::kReleaseBeforeAllHeld, "release_before_all_held",
     "Releases a gang when its first part is held."},
}};
static_assert(IsDense(kMutationNames));

struct CellSettings {
  scheduling::PolicySettings policy;
  Duration hold = 3s;              ///< How long a prepared gang is held.
  Duration recovery_timeout = 2s;  ///< Longest wait for workers' reports.
  Duration worker_lease = 10s;     ///< After it a silent worker has lapsed.
  std::uint32_t max_attempts = 4;  ///< Of one idempotent call.
  std::uint32_t max_live_calls = 200'000;
  Duration default_retention = 10min;
  Duration orphan_grace = 30s;  ///< How long a found run waits for its caller.
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
/// Starts in recovery: decides nothing until every listed worker reported or
/// `recovery_timeout` passed; accelerators of workers that have not reported
/// stay unused until they do or their lease lapses.
class Cell {
 public:
  Cell(const CellSettings& settings, Epoch epoch,
       configuration::CellTopology topology, configuration::CellShare share,
       RecoveredState recovered, Now now);
  ~Cell();
  Cell(Cell&&) noexcept;
  Cell& operator=(Cell&&) noexcept;

  /// Takes one input.
  /// @return the effects to perform, in order.
  [[nodiscard]] std::vector<Effect> Handle(Input input, Now now);

  /// @return when the cell wants a Tick at the latest, or nothing.
  [[nodiscard]] std::optional<TimePoint> NextTick(TimePoint now) const;

  [[nodiscard]] scheduling::LoadSummary Summary(TimePoint now) const;
  [[nodiscard]] bool recovering() const noexcept;
  [[nodiscard]] Epoch epoch() const noexcept;

  /// @return whether the handover may finish: the journal is durable and no
  ///     gang is half prepared. Gangs that run go on; the next owner adopts
  ///     them, and whoever waits for their answers asks there.
  [[nodiscard]] bool quiescent() const noexcept;

  /// @return records that rebuild the cell alone; what a snapshot holds.
  [[nodiscard]] std::vector<JournalRecord> SnapshotRecords() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_CELL_H_
