/// @file
/// Rebuilds the calls of earlier owners from their journal records.

#ifndef JASMINESPAR_CELL_REPLAY_H_
#define JASMINESPAR_CELL_REPLAY_H_

#include <map>
#include <optional>
#include <vector>

#include "jasminespar/cell/journal_record.h"

namespace jasminespar::cell {

struct ReplayedCall {
  std::optional<CallAccepted> accepted;
  Attempt attempt;  ///< The latest recorded one.
  /// Placement of the latest attempt, unless it is recorded as never started.
  std::optional<scheduling::Placement> open_placement;
  std::optional<CallEnded> ended;
};

/// @param records oldest first; a repeated record has no effect.
[[nodiscard]] std::map<CallId, ReplayedCall> Replay(
    std::vector<JournalRecord> records);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_REPLAY_H_
