/// @file
/// Inputs and effects of a cell. The cell is a state machine: it takes one
/// input and the present time, and returns the effects to perform in order.

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

/// Where a reply goes: a connection of this instance or of a peer. Opaque to
/// the cell.
struct ReplyToken {
  std::uint64_t origin = 0;  ///< 0 for the local front, else a peer link.
  std::uint64_t number = 0;  ///< Unique within the origin.
  auto operator<=>(const ReplyToken&) const = default;
};

/// Life of a call; exactly one terminal state, for ever.
enum class CallState : std::uint8_t { kQueued, kPreparing, kRunning, kEnded };

inline constexpr NameTable<CallState, 4> kCallStateNames{{
    {CallState::kQueued, "queued", "Waits for accelerators."},
    {CallState::kPreparing, "preparing", "Its gang is being prepared."},
    {CallState::kRunning, "running", "Its gang runs."},
    {CallState::kEnded, "ended", "It has its outcome."},
}};
static_assert(IsDense(kCallStateNames));

/// Snapshot of a call for a caller that asks.
struct CallStatus {
  CallId id;
  CallState state = CallState::kQueued;
  Attempt attempt;
  std::string explanation;  ///< Why it does not run yet; may be empty.
};

/// The call is durable and its outcome can be collected later.
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

/// The caller's connection is gone: forget the token; the call goes on.
struct ForgetToken {
  ReplyToken token;
};

/// All records up to and including `through` are durable.
struct JournalDurable {
  Sequence through;
};

/// The worker answered an order, release or stop, or reported a change.
struct TaskUpdate {
  TaskRef task;
  Epoch epoch;
  TaskState state = TaskState::kHeld;
  std::optional<Answer> answer;  ///< Rank 0, once succeeded, whole.
};

/// An order or release failed. kNotRun: the worker cannot start the task any
/// more under this order. kMayHaveRun: unknown; the cell stops and asks.
struct TaskOrderFailed {
  TaskRef task;
  Reason reason = Reason::kWorkerUnreachable;
  Verdict verdict = Verdict::kMayHaveRun;
};

/// Full report of a worker: all it holds, runs or keeps.
struct WorkerReported {
  WorkerId worker;
  bool leaving = false;
  std::vector<ReportedTask> tasks;
};

/// The worker is known to run nothing of ours any more: gone from the
/// platform's list for good, or its lease has lapsed.
struct WorkerLost {
  WorkerId worker;
};

struct TopologyChanged {
  configuration::CellTopology topology;
};

struct ShareChanged {
  configuration::CellShare share;
};

/// Whether the store answers. While it does not, a call that needs a durable
/// record first is refused instead of left waiting.
struct StoreChanged {
  bool available = true;
};

/// Stops accepting; queued calls are given back as kShuttingDown/kNotRun so
/// that their instances ask the next owner.
struct BeginHandover {};

/// Time passed.
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

/// Append; `sequence` rises by one with each record of this epoch.
struct AppendJournal {
  Sequence sequence;
  JournalRecord record;
  bool urgent = false;  ///< Something waits for it to become durable.
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

/// The worker may drop what it keeps of the task.
struct ForgetTask {
  TaskRef task;
};

/// Counted in metrics.
struct CountRetry {
  Reason reason;
};

/// A message that matched no live attempt was dropped.
struct CountStaleMessage {
  TaskRef task;
};

using Effect =
    std::variant<SendReply, AppendJournal, OrderTask, ReleaseTask, StopTask,
                 ForgetTask, CountRetry, CountStaleMessage>;

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_MESSAGES_H_
