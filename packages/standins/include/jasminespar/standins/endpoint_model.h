/// @file
/// State of the tasks on one worker, as docs/PLATFORM.md specifies it. Free of
/// HTTP; the caller passes the current time.

#ifndef JASMINESPAR_STANDINS_ENDPOINT_MODEL_H_
#define JASMINESPAR_STANDINS_ENDPOINT_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminespar/cell/task.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/reason.h"
#include "jasminespar/core/time.h"
#include "jasminespar/standins/run_record.h"
#include "jasminespar/standins/task_directive.h"

namespace jasminespar::standins {

struct EndpointSettings {
  WorkerId worker;
  int accelerators = 8;
  Duration lease = 10s;        ///< Of a cell; each report request renews it.
  Duration retention = 10min;  ///< Of ended tasks.
  bool compare_epochs = true;  ///< Refuse requests with a lower epoch.
};

struct EndpointFaults {
  bool fail_everything = false;
  double slow_factor = 1.0;  ///< Multiplies run times.
};

/// The cell that sends a request, and its epoch.
struct Sender {
  CellId cell;
  Epoch epoch;
};

/// Identifies a task on one worker.
struct TaskKey {
  CallId call;
  Attempt attempt;
  auto operator<=>(const TaskKey&) const = default;
};

/// Run time that checkpoints have saved, by call and rank. All workers of a
/// process share it, so that a task can resume on another worker.
using Checkpoints = std::map<std::pair<CallId, std::uint32_t>, Duration>;

/// Tasks that changed after a given change number.
struct TaskReport {
  std::uint64_t change = 0;  ///< Latest change number of the model.
  std::vector<cell::ReportedTask> tasks;
};

/// Task state machine of one worker. Not thread-safe. A method that takes a
/// `Sender` or an order returns `kStaleEpoch` when its epoch is too low.
class EndpointModel {
 public:
  using StateOrReason = std::variant<cell::TaskState, Reason>;
  using AnswerOrReason = std::variant<Answer, Reason>;

  /// @param checkpoints must outlive the model.
  EndpointModel(const EndpointSettings& settings, Checkpoints& checkpoints);

  /// Accepts an order: holds its accelerators, or starts the task at once if
  /// the order says so. Repeating an order has no effect.
  /// @return the task's state, or the reason for the refusal.
  StateOrReason Order(const cell::TaskOrder& order, TimePoint now);

  /// Starts a held task.
  /// @return the task's state; kNotFound when the task is unknown; kHoldLapsed
  ///     when its hold has expired.
  StateOrReason Release(const TaskKey& key, const Sender& sender,
                        TimePoint now);

  /// Stops a running task, cancels a held one and records an unknown one as
  /// never started, so that an order that arrives later does not start it.
  StateOrReason Stop(const TaskKey& key, cell::StopMode mode,
                     const Sender& sender, TimePoint now);

  /// @return the answer of a succeeded task of rank 0, otherwise kNotFound.
  [[nodiscard]] AnswerOrReason AnswerOf(const TaskKey& key) const;

  /// Removes a task if it has ended.
  void Forget(const TaskKey& key);

  /// Renews the cell's lease.
  /// @return the reason for a refusal, or nothing.
  std::optional<Reason> RenewLease(const Sender& sender, TimePoint now);

  /// @return the highest epoch received from the cell, 0.0 if none was.
  [[nodiscard]] Epoch HighestEpoch(const CellId& cell) const;

  /// @param after change number; 0 selects every task.
  [[nodiscard]] TaskReport Report(std::uint64_t after) const;

  /// Applies all transitions that are due: runs that end, holds and leases
  /// that expire, results past their retention.
  void Advance(TimePoint now);

  /// @return when to call Advance next, or nothing.
  [[nodiscard]] std::optional<TimePoint> NextEventTime() const;

  /// @return accelerators of held and running tasks; bit i is accelerator i.
  [[nodiscard]] std::uint64_t Occupied() const;

  /// Drops all tasks and leases, as a restart of the worker does. The records
  /// of runs and orders stay.
  void Restart(TimePoint now);

  /// While leaving, the worker refuses orders of new tasks.
  void SetLeaving(bool leaving);
  void SetFaults(const EndpointFaults& faults) { faults_ = faults; }

  [[nodiscard]] bool leaving() const { return leaving_; }
  [[nodiscard]] std::uint64_t restarts() const { return restarts_; }
  [[nodiscard]] std::uint64_t change() const { return change_; }
  [[nodiscard]] const EndpointSettings& settings() const { return settings_; }
  [[nodiscard]] const std::vector<RunRecord>& runs() const { return runs_; }
  [[nodiscard]] const std::vector<OrderRecord>& orders() const {
    return orders_;
  }

 private:
  struct Task {
    cell::TaskOrder order;
    cell::TaskState state = cell::TaskState::kHeld;
    std::uint64_t change = 0;
    std::optional<TimePoint> due;  ///< End of hold, run or retention.
    /// Entered at `due`.
    cell::TaskState next_state = cell::TaskState::kNeverStarted;
    std::size_t run = 0;  ///< Index in runs_.
    TimePoint started;
  };
  struct Cell {
    Epoch highest;
    TimePoint lease_end;
  };

  /// Records the sender's epoch, and starts a lease if the cell has none.
  /// @return kStaleEpoch when the epoch is too low, otherwise nothing.
  std::optional<Reason> AcceptEpoch(const Sender& sender, TimePoint now);
  void StartTask(Task& task, TimePoint now);
  void EndTask(Task& task, cell::TaskState state, TimePoint now);
  void SaveProgress(const Task& task, TimePoint now);
  void EndTasksWithExpiredLease(TimePoint now);

  EndpointSettings settings_;
  Checkpoints& checkpoints_;
  EndpointFaults faults_;
  bool leaving_ = false;
  std::uint64_t restarts_ = 0;
  std::uint64_t change_ = 1;  // Starts at 1 because 0 selects every task.
  std::map<TaskKey, Task> tasks_;
  std::map<CellId, Cell> cells_;
  std::vector<RunRecord> runs_;
  std::vector<OrderRecord> orders_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_ENDPOINT_MODEL_H_
