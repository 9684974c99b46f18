/// @file
/// Rebuilds what earlier owners promised from the records they left.

#ifndef JASMINESPAR_CELL_REPLAY_H_
#define JASMINESPAR_CELL_REPLAY_H_

#include <map>
#include <optional>
#include <vector>

#include "jasminespar/cell/journal_record.h"

namespace jasminespar::cell {

struct ReplayedCall {
  std::optional<CallAccepted> accepted;
  Attempt attempt;  ///< The latest that was recorded.
  /// Of the latest attempt, while nothing says that it never started.
  std::optional<scheduling::Placement> open;
  std::optional<CallEnded> ended;
};

/// @param records oldest first; repeats of a record change nothing.
[[nodiscard]] std::map<CallId, ReplayedCall> Replay(
    std::vector<JournalRecord> records);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_REPLAY_H_
