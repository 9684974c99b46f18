/// @file
/// A simulated worker that holds, runs and stops tasks as docs/PLATFORM.md
/// specifies.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORKER_H_
#define JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "cell_model/invariant_checker.h"
#include "cell_model/timeline.h"
#include "jasminespar/cell/messages.h"

namespace jasminespar::cell_model {

/// A fault built into the worker, which the model must detect.
enum class WorkerMutation : std::uint8_t { kNone, kSkipEpochCheck };

inline constexpr NameTable<WorkerMutation, 2> kWorkerMutationNames{{
    {WorkerMutation::kNone, "none", "Follows the specification."},
    {WorkerMutation::kSkipEpochCheck, "skip_epoch_check",
     "Accepts requests of a replaced owner."},
}};
static_assert(IsDense(kWorkerMutationNames));

/// Result of an order, release or stop: the task's state, or the reason why the
/// request was rejected.
using RequestResult = std::variant<cell::TaskState, Reason>;

class ModelWorker {
 public:
  using UpdateCallback = std::function<void(const cell::TaskUpdate&)>;

  ModelWorker(WorkerId id, CellId cell, Timeline& timeline,
              InvariantChecker& checker, WorkerMutation mutation)
      : id_(id),
        cell_(std::move(cell)),
        timeline_(timeline),
        checker_(checker),
        mutation_(mutation) {}

  RequestResult Order(const cell::TaskOrder& order);
  RequestResult Release(const cell::TaskRef& ref, Epoch epoch);
  RequestResult Stop(const cell::TaskRef& ref, Epoch epoch);
  void Forget(const cell::TaskRef& ref);

  /// Renews the lease.
  /// @return all tasks, or nullopt if the owner has been replaced.
  std::optional<cell::WorkerReported> Report(Epoch epoch);
  /// @return the answer, or nullopt unless the task succeeded as rank 0.
  std::optional<Answer> AnswerOf(const cell::TaskRef& ref) const;

  /// Restarts the process: all tasks and the highest epoch are lost.
  void Restart();
  void set_leaving(bool leaving) { leaving_ = leaving; }
  void set_fails_everything(bool fails) { fails_everything_ = fails; }
  void set_reachable(bool reachable) { reachable_ = reachable; }
  void set_on_update(UpdateCallback callback) {
    on_update_ = std::move(callback);
  }
  [[nodiscard]] bool reachable() const { return reachable_; }
  /// @return the number of tasks that hold accelerators.
  [[nodiscard]] std::size_t active_tasks() const;

 private:
  struct Task {
    cell::TaskOrder order;
    cell::TaskState state = cell::TaskState::kHeld;
    TimePoint ended;
  };

  /// Ends an expired lease, and raises the highest epoch to `epoch`.
  /// @return whether a request under `epoch` is rejected as stale.
  bool RejectsEpoch(Epoch epoch);
  void Start(Task& task, Epoch requester);
  void FinishRun(const cell::TaskRef& ref, std::uint64_t incarnation);
  void SetState(Task& task, cell::TaskState state, bool notify);
  void StopTasksIfLeaseExpired();
  void RemoveOldResults();

  WorkerId id_;
  CellId cell_;
  Timeline& timeline_;
  InvariantChecker& checker_;
  WorkerMutation mutation_;
  UpdateCallback on_update_;
  std::map<cell::TaskRef, Task> tasks_;
  Epoch highest_epoch_;
  TimePoint lease_renewed_;
  std::uint64_t incarnation_ = 0;  ///< Incremented by each restart.
  bool leaving_ = false;
  bool fails_everything_ = false;
  bool reachable_ = true;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORKER_H_
