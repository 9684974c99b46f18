/// @file
/// One owner of the cell in the model: the cell itself, its journal writes
/// and its link to the workers, with everything that can go wrong between.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_MODEL_OWNER_H_
#define JASMINESPAR_TESTS_CELL_MODEL_MODEL_OWNER_H_

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "cell_model/auditor.h"
#include "cell_model/model_store.h"
#include "cell_model/model_worker.h"
#include "cell_model/timeline.h"
#include "jasminespar/cell/cell.h"

namespace jasminespar::cell_model {

/// What all owners share.
struct Site {
  Timeline timeline;
  Auditor auditor;
  ModelStore store;
  configuration::CellTopology topology;
  std::map<WorkerId, std::unique_ptr<ModelWorker>> workers;
  cell::CellSettings settings;
  bool faults = true;
  std::uint64_t steps = 0;  ///< Inputs that cells have handled.

  [[nodiscard]] cell::Now Now() const;
};

class ModelOwner : public std::enable_shared_from_this<ModelOwner> {
 public:
  explicit ModelOwner(Site& site);

  /// Begins to poll the workers; after construction.
  void Begin();

  /// Gives the cell an input now, or when the owner wakes.
  void Give(cell::Input input);
  void Pause(Duration time);
  void Kill() { alive_ = false; }

  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] const cell::Cell& cell() const { return *cell_; }

 private:
  struct Poll {
    TimePoint sent;        ///< Of the latest poll.
    TimePoint heard;       ///< Of the latest report.
    bool lapsing = false;  ///< No poll goes out until it has lapsed.
  };

  void Later(Duration delay, std::function<void()> event);
  void Handle(cell::Input input);
  void Perform(const cell::Effect& effect);
  void ArmTick();

  // Journal.
  void Append(const cell::AppendJournal& append);
  void WriteSoon(Duration delay);
  void Write();
  void Written(bool took_effect, Sequence through);

  // Workers.
  template <typename Request>
  void Send(const cell::TaskRef& task, bool reports_failure, Request request);
  void Deliver(const cell::TaskUpdate& word);
  void PollLoop(WorkerId worker);
  void TakeReport(WorkerId worker, const cell::WorkerReported& report);

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
  bool write_armed_ = false;

  std::map<WorkerId, Poll> polls_;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_MODEL_OWNER_H_
