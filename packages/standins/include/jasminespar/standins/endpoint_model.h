/// @file
/// Tasks of one worker as docs/PLATFORM.md specifies them, without HTTP and
/// without a clock.

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
  Duration lease = 10s;
  Duration retention = 10min;  ///< How long results stay.
  bool compare_epochs = true;
};

struct EndpointFaults {
  bool fail_everything = false;
  double slow_factor = 1.0;  ///< Multiplies run times.
};

/// Whose request it is.
struct Sender {
  CellId cell;
  Epoch epoch;
};

/// Names a task on one worker.
struct TaskKey {
  CallId call;
  Attempt attempt;
  auto operator<=>(const TaskKey&) const = default;
};

/// Work already saved by a checkpoint; shared by the workers of a process.
using Checkpoints = std::map<std::pair<CallId, std::uint32_t>, Duration>;

struct TaskReport {
  std::uint64_t change = 0;
  std::vector<cell::ReportedTask> tasks;
};

/// Not thread-safe.
class EndpointModel {
 public:
  using StateOrReason = std::variant<cell::TaskState, Reason>;
  using AnswerOrReason = std::variant<Answer, Reason>;

  /// @param checkpoints outlives the model.
  EndpointModel(const EndpointSettings& settings, Checkpoints& checkpoints);

  StateOrReason Order(const cell::TaskOrder& order, TimePoint now);
  StateOrReason Release(const TaskKey& key, const Sender& sender,
                        TimePoint now);
  StateOrReason Stop(const TaskKey& key, cell::StopMode mode,
                     const Sender& sender, TimePoint now);

  [[nodiscard]] AnswerOrReason AnswerOf(const TaskKey& key) const;
  void Forget(const TaskKey& key);

  /// Renews the cell's lease.
  /// @return why not, or nothing.
  std::optional<Reason> Renew(const Sender& sender, TimePoint now);

  /// @return the highest epoch seen of the cell; 0.0 when there is none.
  [[nodiscard]] Epoch HighestEpoch(const CellId& cell) const;

  /// @param after 0 for every task known.
  [[nodiscard]] TaskReport Report(std::uint64_t after) const;

  /// Performs everything that is due: ends of runs, holds and leases.
  void Advance(TimePoint now);

  /// @return when to call Advance next, or nothing.
  [[nodiscard]] std::optional<TimePoint> NextEvent() const;

  /// @return the accelerators held or running; bit i is accelerator i.
  [[nodiscard]] std::uint64_t Occupied() const;

  /// Loses all tasks, as a restart of the worker does.
  void Restart(TimePoint now);

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
    std::optional<TimePoint> due;  ///< Of the hold, the run or the removal.
    cell::TaskState next = cell::TaskState::kNeverStarted;  ///< At `due`.
    std::size_t run = 0;                                    ///< In runs_.
    TimePoint started;
  };
  struct Cell {
    Epoch highest;
    TimePoint lease_end;
  };

  std::optional<Reason> Admit(const Sender& sender, TimePoint now);
  void Begin(Task& task, TimePoint now);
  void End(Task& task, cell::TaskState state, TimePoint now);
  void SaveProgress(const Task& task, TimePoint now);
  void EndLapsedLeases(TimePoint now);

  EndpointSettings settings_;
  Checkpoints& checkpoints_;
  EndpointFaults faults_;
  bool leaving_ = false;
  std::uint64_t restarts_ = 0;
  std::uint64_t change_ = 1;  // From 1, so that 0 always means "everything".
  std::map<TaskKey, Task> tasks_;
  std::map<CellId, Cell> cells_;
  std::vector<RunRecord> runs_;
  std::vector<OrderRecord> orders_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_ENDPOINT_MODEL_H_
