/// @file
/// A worker of the model: holds, runs and stops tasks as docs/PLATFORM.md says.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORKER_H_
#define JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "cell_model/auditor.h"
#include "cell_model/timeline.h"
#include "jasminespar/cell/messages.h"

namespace jasminespar::cell_model {

/// What a worker does wrong on purpose.
enum class WorkerMutation : std::uint8_t { kNone, kSkipEpochCheck };

inline constexpr NameTable<WorkerMutation, 2> kWorkerMutationNames{{
    {WorkerMutation::kNone, "none", "Follows the page."},
    {WorkerMutation::kSkipEpochCheck, "skip_epoch_check",
     "Obeys an owner that has been replaced."},
}};
static_assert(IsDense(kWorkerMutationNames));

/// Answer to an order, release or stop: a state, or why there was no effect.
using WorkerAnswer = std::variant<cell::TaskState, Reason>;

class ModelWorker {
 public:
  using Changed = std::function<void(const cell::TaskUpdate&)>;

  ModelWorker(WorkerId id, CellId cell, Timeline& timeline, Auditor& auditor,
              WorkerMutation mutation)
      : id_(id),
        cell_(std::move(cell)),
        timeline_(timeline),
        auditor_(auditor),
        mutation_(mutation) {}

  WorkerAnswer Order(const cell::TaskOrder& order);
  WorkerAnswer Release(const cell::TaskRef& ref, Epoch epoch);
  WorkerAnswer Stop(const cell::TaskRef& ref, Epoch epoch);
  void Forget(const cell::TaskRef& ref);

  /// Renews the lease and lists all tasks; nothing for a superseded owner.
  std::optional<cell::WorkerReported> Report(Epoch epoch);
  /// @return the answer of a task that succeeded as rank 0.
  std::optional<Answer> AnswerOf(const cell::TaskRef& ref) const;

  /// Loses every task and every epoch.
  void Restart();
  void set_leaving(bool leaving) { leaving_ = leaving; }
  void set_fails_everything(bool fails) { fails_everything_ = fails; }
  void set_reachable(bool reachable) { reachable_ = reachable; }
  void set_on_change(Changed changed) { changed_ = std::move(changed); }
  [[nodiscard]] bool reachable() const { return reachable_; }
  /// @return tasks that hold accelerators.
  [[nodiscard]] std::size_t busy() const;

 private:
  struct Task {
    cell::TaskOrder order;
    cell::TaskState state = cell::TaskState::kHeld;
    TimePoint ended;
  };

  bool Refuses(Epoch epoch);
  void Start(Task& task, Epoch requester);
  void EndRun(const cell::TaskRef& ref, std::uint64_t life);
  void SetState(Task& task, cell::TaskState state, bool tell);
  void CheckLease();
  void Purge();

  WorkerId id_;
  CellId cell_;
  Timeline& timeline_;
  Auditor& auditor_;
  WorkerMutation mutation_;
  Changed changed_;
  std::map<cell::TaskRef, Task> tasks_;
  Epoch highest_;
  TimePoint renewed_;
  std::uint64_t life_ = 0;  ///< Rises with each restart.
  bool leaving_ = false;
  bool fails_everything_ = false;
  bool reachable_ = true;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORKER_H_
