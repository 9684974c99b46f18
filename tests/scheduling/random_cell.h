/// @file
/// Random operation of one cell, checked by a simple external model.

#ifndef JASMINESPAR_TESTS_SCHEDULING_RANDOM_CELL_H_
#define JASMINESPAR_TESTS_SCHEDULING_RANDOM_CELL_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "jasminespar/scheduling/scheduler.h"
#include "scheduling/fixtures.h"

namespace jasminespar::scheduling {

struct RandomCellShape {
  std::uint32_t workers = 8;
  std::uint32_t workers_per_rack = 8;
  int accelerators = 8;
};

/// Drives a Scheduler with random input and throws std::runtime_error when an
/// action contradicts the model, which tracks jobs and held accelerators.
class RandomCell {
 public:
  RandomCell(const RandomCellShape& shape, const PolicySettings& settings,
             std::uint64_t seed);

  /// Makes one random change and one decision and checks the actions.
  void Step();
  /// Empties the cell, fills it with borrowed work, then requests the whole
  /// guarantee of every account at once and expects all of it to be met.
  void RequestAllGuarantees();

  [[nodiscard]] std::uint64_t decisions() const noexcept { return decisions_; }
  [[nodiscard]] std::uint64_t reclaims() const noexcept { return reclaims_; }
  /// @return guaranteed shapes that RequestAllGuarantees requested and got.
  [[nodiscard]] std::uint64_t shapes_met() const noexcept {
    return shapes_met_;
  }
  [[nodiscard]] std::uint64_t starts() const noexcept { return starts_; }

 private:
  struct Running {
    Job job;
    Placement placement;
    bool reclaiming = false;
  };

  int Random(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }
  Job RandomJob();
  void Enqueue(const Job& job);
  void CancelRandomWaiting();
  void EndRandomRunning();
  void ChangeWorkers();
  void ChangeShare();
  void FailRandomRunning();
  void Decide();
  void Apply(const StartGang& start);
  void Apply(const ReclaimGang& reclaim);
  void Apply(const DropJob& drop);
  void End(const CallId& id);
  void EndReclaimed(bool all);
  void EmptyCell();
  void FillWithBorrowers();
  std::size_t EnqueueShapes();

  RandomCellShape shape_;
  std::mt19937_64 random_;
  configuration::CellTopology topology_;
  configuration::CellShare share_;
  Scheduler scheduler_;
  TimePoint now_;
  std::uint64_t next_id_ = 1;
  std::map<CallId, Job> waiting_;
  std::map<CallId, Running> running_;
  std::map<WorkerId, std::uint64_t> held_;
  std::set<WorkerId> leaving_;
  std::uint64_t decisions_ = 0;
  std::uint64_t reclaims_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t shapes_met_ = 0;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_TESTS_SCHEDULING_RANDOM_CELL_H_
