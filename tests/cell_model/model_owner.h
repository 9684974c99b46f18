/// @file
/// One owner of the simulated cell: the cell's state machine, its journal
/// writes and its connections to the workers, each with injected faults.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_MODEL_OWNER_H_
#define JASMINESPAR_TESTS_CELL_MODEL_MODEL_OWNER_H_

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "cell_model/invariant_checker.h"
#include "cell_model/model_store.h"
#include "cell_model/model_worker.h"
#include "cell_model/timeline.h"
#include "jasminespar/cell/cell.h"

namespace jasminespar::cell_model {

/// State that all owners of a simulation share.
struct Site {
  Timeline timeline;
  InvariantChecker checker;
  ModelStore store;
  configuration::CellTopology topology;
  std::map<WorkerId, std::unique_ptr<ModelWorker>> workers;
  cell::CellSettings settings;
  bool faults = true;       ///< Whether faults are injected.
  std::uint64_t steps = 0;  ///< Inputs that cells have handled.

  [[nodiscard]] cell::Now Now() const;
};

/// Shared ownership, because events may still be pending when the owner has
/// been replaced.
class ModelOwner : public std::enable_shared_from_this<ModelOwner> {
 public:
  /// Claims the cell under a new epoch and recovers it from the journal.
  explicit ModelOwner(Site& site);

  /// Starts polling the workers. Not in the constructor, since events hold a
  /// shared pointer to the owner.
  void Start();

  /// Handles the input at once, or when the pause ends. Ignored after Kill.
  void Receive(cell::Input input);
  /// Defers all events and inputs, like a process that is stopped for a time.
  void Pause(Duration time);
  void Kill() { alive_ = false; }

  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] const cell::Cell& cell() const { return *cell_; }

 private:
  struct Poll {
    TimePoint last_sent;
    TimePoint last_report;
    bool awaiting_expiry = false;  ///< No polls until the lease has expired.
  };

  /// Runs the event after `delay`, deferred while paused; dropped after Kill.
  void RunAfter(Duration delay, std::function<void()> event);
  void Handle(cell::Input input);
  void Perform(const cell::Effect& effect);
  void ScheduleTick();

  // Journal.
  void Append(const cell::AppendJournal& append);
  void ScheduleWrite(Duration delay);
  void WritePending();
  /// @param written false if the store rejected the epoch.
  void HandleWriteResult(bool written, Sequence through);

  // Workers.
  /// @param request called with the worker when the message arrives.
  template <typename Request>
  void SendToWorker(const cell::TaskRef& task, bool reports_failure,
                    Request request);
  void DeliverUpdate(const cell::TaskUpdate& update);
  void PollWorker(WorkerId worker);
  void HandleReport(WorkerId worker, const cell::WorkerReported& report);

  Site& site_;
  Epoch epoch_;
  std::unique_ptr<cell::Cell> cell_;
  bool alive_ = true;
  bool paused_ = false;
  std::deque<std::function<void()>> deferred_;
  TimePoint next_tick_ = TimePoint::max();

  std::vector<cell::JournalRecord> pending_;
  Sequence pending_through_;
  bool writing_ = false;
  bool write_scheduled_ = false;

  std::map<WorkerId, Poll> polls_;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_MODEL_OWNER_H_
