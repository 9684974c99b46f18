/// @file
/// Snapshot of a cell: records that rebuild it without its journal.

#ifndef JASMINESPAR_CELL_SNAPSHOT_H_
#define JASMINESPAR_CELL_SNAPSHOT_H_

#include <vector>

#include "context.h"

namespace jasminespar::cell {

/// @return records whose replay gives the same calls as the journal's.
[[nodiscard]] std::vector<JournalRecord> SnapshotRecords(
    const Context& context);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_SNAPSHOT_H_
