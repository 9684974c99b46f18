/// @file
/// Tasks: the members of a gang, one per worker, as the cell and its workers
/// refer to them.

#ifndef JASMINESPAR_CELL_TASK_H_
#define JASMINESPAR_CELL_TASK_H_

#include <cstdint>
#include <string>

#include "jasminespar/core/call.h"
#include "jasminespar/core/digest.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"

namespace jasminespar::cell {

/// Identifies the task of one attempt on one worker.
struct TaskRef {
  CallId call;
  Attempt attempt;
  WorkerId worker;
  auto operator<=>(const TaskRef&) const = default;
};

/// State of a task on its worker.
enum class TaskState : std::uint8_t {
  kHeld,          ///< Prepared; nothing runs; the hold expires by itself.
  kRunning,       ///< Released.
  kSucceeded,     ///< Ended; rank 0 keeps the answer.
  kFailed,        ///< Ran and failed.
  kStopped,       ///< Ran and was stopped before it finished.
  kNeverStarted,  ///< Aborted or expired before release; cannot start.
};

inline constexpr NameTable<TaskState, 6> kTaskStateNames{{
    {TaskState::kHeld, "held", "Prepared, nothing runs."},
    {TaskState::kRunning, "running", "Released and running."},
    {TaskState::kSucceeded, "succeeded", "Ran to its end."},
    {TaskState::kFailed, "failed", "Ran and failed."},
    {TaskState::kStopped, "stopped", "Ran and was stopped."},
    {TaskState::kNeverStarted, "never_started", "Cannot start any more."},
}};
static_assert(IsDense(kTaskStateNames));

/// @return whether the task was released: it runs, or ran and has ended.
[[nodiscard]] constexpr bool HasStarted(TaskState state) noexcept {
  return state != TaskState::kHeld && state != TaskState::kNeverStarted;
}

/// @return whether the task no longer occupies its accelerators.
[[nodiscard]] constexpr bool HasEnded(TaskState state) noexcept {
  return state != TaskState::kHeld && state != TaskState::kRunning;
}

enum class StopMode : std::uint8_t { kAbort, kCheckpoint, kStop };

inline constexpr NameTable<StopMode, 3> kStopModeNames{{
    {StopMode::kAbort, "abort", "Give up a hold; never start."},
    {StopMode::kCheckpoint, "checkpoint", "Save progress, then stop."},
    {StopMode::kStop, "stop", "Stop at once."},
}};
static_assert(IsDense(kStopModeNames));

/// Everything a worker needs to hold and later run one task.
struct TaskOrder {
  TaskRef task;
  CellId cell;
  Epoch epoch;
  ServiceId service;
  ClientAccountId account;
  std::uint32_t rank = 0;
  std::uint32_t gang_workers = 1;  ///< Number of tasks in the gang.
  std::uint64_t accelerators = 0;  ///< Bit mask of the worker's accelerators.
  Duration hold{};                 ///< Time after which the hold expires.
  bool start_now = false;  ///< Starts without a hold; only in a gang of one.
  std::string body;        ///< The request's body.
};

/// A task as its worker reports it.
struct ReportedTask {
  TaskRef task;
  CellId cell;
  Epoch epoch;
  std::uint32_t rank = 0;
  std::uint32_t gang_workers = 1;
  std::uint64_t accelerators = 0;
  TaskState state = TaskState::kHeld;
  Digest answer_digest;  ///< Of rank 0's answer, once succeeded.
  std::uint64_t answer_bytes = 0;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_TASK_H_
