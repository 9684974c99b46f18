/// @file
/// Records of a cell's journal. Replaying the records of all epochs in order
/// rebuilds the calls that must survive their owner.

#ifndef JASMINESPAR_CELL_JOURNAL_RECORD_H_
#define JASMINESPAR_CELL_JOURNAL_RECORD_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::cell {

/// Milliseconds since the Unix epoch; used for times that outlive an owner.
struct WallTime {
  std::int64_t milliseconds = 0;
  auto operator<=>(const WallTime&) const = default;
};

/// The call was admitted. `deadline` is wall time, so that the next owner can
/// read it; it bounds waiting only and is not used for fencing.
struct CallAccepted {
  CallRequest request;
  WallTime deadline;
};

/// Written before the first order of the attempt is sent to a worker.
struct AttemptStarting {
  CallId call;
  Attempt attempt;
  scheduling::Placement placement;
};

/// The attempt did not start: no order was sent, or every worker confirmed it.
struct AttemptNeverStarted {
  CallId call;
  Attempt attempt;
};

/// The only terminal record of a call.
struct CallEnded {
  CallId call;
  Outcome outcome;
  WallTime forget_at;  ///< End of the outcome's retention.
};

using JournalRecord =
    std::variant<CallAccepted, AttemptStarting, AttemptNeverStarted, CallEnded>;

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_JOURNAL_RECORD_H_
