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

/// What a step asks for, with the room that each candidate has for it.
struct Candidate {
  WorkerState* worker = nullptr;
  Resources room;
  std::uint32_t limit = 0;  ///< Tasks of the step that it may still take.
};

struct PlacementRequest {
  const StepSpec* spec = nullptr;
  std::uint32_t tasks = 0;
  bool away_from_rack_allowed = true;  ///< Of `preferred_rack`.
  WorkerName avoid;  ///< Taken only when nothing else fits; may be empty.
};

/// @return what a task of the step takes from a worker's room.
[[nodiscard]] Resources NeedOf(const StepSpec& spec) noexcept;

/// @return how many tasks of that need fit into the room, at most `limit`.
[[nodiscard]] std::uint32_t CountFitting(const Resources& need,
                                         const Resources& room,
                                         std::uint32_t limit) noexcept;

/// @return usable workers of the service with the step's label, with their
///     room and how many more tasks the spread limit allows on each.
[[nodiscard]] std::vector<Candidate> CandidatesFor(WorkerMap& workers,
                                                   const JobState& job,
                                                   const StepState& step,
                                                   TimePoint now);

/// Places all tasks of a gang, or none.
/// @return a worker for each task, or nothing when they don't fit at once.
[[nodiscard]] std::vector<WorkerState*> PlaceGang(
    std::vector<Candidate> candidates, const PlacementRequest& request);

/// Places one task on the fullest worker that has room.
/// @return null when none has.
[[nodiscard]] WorkerState* PlaceTask(std::span<Candidate> candidates,
                                     const PlacementRequest& request);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_PLACEMENT_H_
