/// @file
/// Chooses workers for the waiting tasks of a step. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_PLACEMENT_H_
#define JASMINESPAR_JOBS_SRC_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "job_table.h"
#include "worker_pool.h"

namespace jasminespar::jobs {

using WorkerMap = std::map<WorkerName, WorkerState>;

/// A worker that a step's tasks may be placed on.
struct Candidate {
  WorkerState* worker = nullptr;
  Resources room;           ///< Still available.
  std::uint32_t limit = 0;  ///< Most further tasks of the step.
  bool cold = false;        ///< Used only if the others do not suffice.
};

/// Which of two workers with the same room a single task is placed on.
enum class PaceOrder : std::uint8_t { kNone, kFastFirst, kSlowFirst };

struct PlacementRequest {
  const StepSpec* spec = nullptr;
  std::uint32_t tasks = 0;
  /// Whether racks other than `preferred_rack` may be used, and more than one
  /// rack for a gang that prefers one.
  bool other_racks_allowed = true;
  WorkerName avoid;  ///< Used only if no other worker has room; may be empty.
  PaceOrder pace = PaceOrder::kNone;
};

/// @return the resources that a task of the step occupies on a worker.
[[nodiscard]] Resources NeedOf(const StepSpec& spec) noexcept;

/// @return how many tasks with that need fit into `room`, at most `limit`.
[[nodiscard]] std::uint32_t CountFitting(const Resources& need,
                                         const Resources& room,
                                         std::uint32_t limit) noexcept;

/// @return the workers that new work may be placed on.
[[nodiscard]] std::vector<WorkerState*> UsableWorkers(WorkerMap& workers,
                                                      TimePoint now);

/// @param usable workers that new work may be placed on.
/// @return those of the queue's service with the step's label, with their room
///     and how many more tasks `max_tasks_per_worker` allows there.
[[nodiscard]] std::vector<Candidate> CandidatesFor(
    std::span<WorkerState* const> usable, const JobState& job,
    const StepState& step, TimePoint now);

/// Places all tasks of a gang, or none, on cold workers as on others.
/// @return a worker for each task; empty if they do not all fit now.
[[nodiscard]] std::vector<WorkerState*> PlaceGang(
    const std::vector<Candidate>& suited, const PlacementRequest& request);

/// Chooses workers for all tasks of a gang; empty if they do not all fit.
using GangPlacer = std::vector<WorkerState*> (*)(
    const std::vector<Candidate>& candidates, const PlacementRequest& request);

/// Places all tasks of a gang, on cold workers only if the others do not
/// suffice.
[[nodiscard]] std::vector<WorkerState*> PlaceGangWarmFirst(
    const std::vector<Candidate>& candidates, const PlacementRequest& request,
    GangPlacer place);

/// Places one task on the worker with the least room that suffices, and deducts
/// the task from that candidate.
/// @return null if no worker has room.
[[nodiscard]] WorkerState* PlaceTask(std::span<Candidate> candidates,
                                     const PlacementRequest& request);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_PLACEMENT_H_
