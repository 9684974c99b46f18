/// @file
/// Inputs and effects of a cell. The cell is a state machine: it is given one
/// input and the current time, and returns the effects to perform, in order.

#ifndef JASMINESPAR_CELL_MESSAGES_H_
#define JASMINESPAR_CELL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/cell/journal_record.h"
#include "jasminespar/cell/task.h"
#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::cell {

/// Destination of a reply: a connection of this instance or of a peer. Opaque
/// to the cell.
struct ReplyToken {
  std::uint64_t origin = 0;  ///< 0 for the local front, otherwise a peer link.
  std::uint64_t number = 0;  ///< Unique within the origin.
  auto operator<=>(const ReplyToken&) const = default;
};

/// State of a call as its caller sees it. kEnded is terminal.
enum class CallState : std::uint8_t { kQueued, kPreparing, kRunning, kEnded };

inline constexpr NameTable<CallState, 4> kCallStateNames{{
    {CallState::kQueued, "queued", "Waits for accelerators."},
    {CallState::kPreparing, "preparing", "Its gang is being prepared."},
    {CallState::kRunning, "running", "Its gang runs."},
    {CallState::kEnded, "ended", "It has its outcome."},
}};
static_assert(IsDense(kCallStateNames));

/// Current state of a call, for a caller that looks it up.
struct CallStatus {
  CallId id;
  CallState state = CallState::kQueued;
  Attempt attempt;
  std::string explanation;  ///< Why it is still queued; may be empty.
};

/// The acceptance is durable and the outcome can be collected later.
struct CallAcceptedReply {
  CallId id;
};

using CallReply = std::variant<Answer, Refusal, CallStatus, CallAcceptedReply>;

// Inputs.

struct SubmitCall {
  ReplyToken token;
  CallRequest request;
};

struct LookUpCall {
  ReplyToken token;
  CallId id;
  ClientAccountId account;  ///< Calls of other accounts are not found.
};

struct CancelCall {
  ReplyToken token;
  CallId id;
  ClientAccountId account;
};

/// The caller's connection closed: nothing is sent to the token; the call
/// continues.
struct ForgetToken {
  ReplyToken token;
};

/// All records up to and including `through` are durable.
struct JournalDurable {
  Sequence through;
};

/// State of one task, from its worker's response to an order, release or stop,
/// or from a notification of a state change.
struct TaskUpdate {
  TaskRef task;
  Epoch epoch;
  TaskState state = TaskState::kHeld;
  std::optional<Answer> answer;  ///< Complete; only of rank 0 after success.
};

/// An order or release failed. kNotRun: the worker can no longer start the task
/// under this order. kMayHaveRun: unknown; the cell stops the gang and waits
/// for its workers' updates. kRan: the task succeeded but its answer is lost.
struct TaskOrderFailed {
  TaskRef task;
  Reason reason = Reason::kWorkerUnreachable;
  Verdict verdict = Verdict::kMayHaveRun;
};

/// Full report of a worker: every task that it holds, runs or keeps a result
/// of.
struct WorkerReported {
  WorkerId worker;
  bool leaving = false;
  std::vector<ReportedTask> tasks;
};

/// The worker no longer runs any task of this cell: it was removed from the
/// platform's list for good, or its lease has expired.
struct WorkerLost {
  WorkerId worker;
};

struct TopologyChanged {
  configuration::CellTopology topology;
};

struct ShareChanged {
  configuration::CellShare share;
};

/// Whether the store is reachable. While it is not, a call that needs a durable
/// record first is refused instead of queued.
struct StoreChanged {
  bool available = true;
};

/// Stops admission. Queued calls are refused with kShuttingDown, as kNotRun
/// unless a run is possible, so that their instances ask the next owner.
struct BeginHandover {};

/// Only the time has changed.
struct Tick {};

using Input = std::variant<SubmitCall, LookUpCall, CancelCall, ForgetToken,
                           JournalDurable, TaskUpdate, TaskOrderFailed,
                           WorkerReported, WorkerLost, TopologyChanged,
                           ShareChanged, StoreChanged, BeginHandover, Tick>;

// Effects.

struct SendReply {
  ReplyToken token;
  CallReply reply;
};

/// Append a record; `sequence` increases by one per record of this epoch.
struct AppendJournal {
  Sequence sequence;
  JournalRecord record;
  bool urgent = false;  ///< Something waits for its durability.
};

struct OrderTask {
  TaskOrder order;
};

struct ReleaseTask {
  TaskRef task;
};

struct StopTask {
  TaskRef task;
  StopMode mode = StopMode::kStop;
};

/// The worker may delete the result and state that it keeps of the task.
struct ForgetTask {
  TaskRef task;
};

/// Counts a retry in the metrics.
struct CountRetry {
  Reason reason;
};

/// Counts a dropped message that matched no live attempt.
struct CountStaleMessage {
  TaskRef task;
};

using Effect =
    std::variant<SendReply, AppendJournal, OrderTask, ReleaseTask, StopTask,
                 ForgetTask, CountRetry, CountStaleMessage>;

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_MESSAGES_H_
