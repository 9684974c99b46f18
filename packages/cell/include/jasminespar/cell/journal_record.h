/// @file
/// What a cell writes to its journal. Replaying the records of all epochs in
/// order rebuilds what was promised to callers.

#ifndef JASMINESPAR_CELL_JOURNAL_RECORD_H_
#define JASMINESPAR_CELL_JOURNAL_RECORD_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::cell {

/// Milliseconds since the Unix epoch; only for retention across owners.
struct WallTime {
  std::int64_t milliseconds = 0;
  auto operator<=>(const WallTime&) const = default;
};

/// The call was admitted. `deadline` is wall time, so that it outlives the
/// owner; it bounds waiting only and fences nothing.
struct CallAccepted {
  CallRequest request;
  WallTime deadline;
};

/// Workers may hear of this attempt from now on.
struct AttemptStarting {
  CallId call;
  Attempt attempt;
  scheduling::Placement placement;
};

/// Every worker of the attempt confirmed that it never started.
struct AttemptNeverStarted {
  CallId call;
  Attempt attempt;
};

/// The call's one terminal record.
struct CallEnded {
  CallId call;
  Outcome outcome;
  WallTime forget_at;  ///< End of its retention.
};

using JournalRecord =
    std::variant<CallAccepted, AttemptStarting, AttemptNeverStarted, CallEnded>;

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_JOURNAL_RECORD_H_
