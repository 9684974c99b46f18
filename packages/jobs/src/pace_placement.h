/// @file
/// Chooses workers for gangs and tasks by their pace. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_PACE_PLACEMENT_H_
#define JASMINESPAR_JOBS_SRC_PACE_PLACEMENT_H_

#include <vector>

#include "placement.h"

namespace jasminespar::jobs {

/// Places all tasks of a gang, or none, where the slowest member is expected to
/// end first; a gang that gets slow workers gets no fast ones with them, where
/// that is possible. Workers that are empty and needed as such are left alone.
/// Finds a place whenever PlaceGang does.
/// @return a worker for each task; empty if they do not all fit now.
[[nodiscard]] std::vector<WorkerState*> PlaceGangByPace(
    const std::vector<Candidate>& candidates, const PlacementRequest& request);

/// @return rank of the worker among those with the same room, lowest first.
[[nodiscard]] int PaceRank(const WorkerState& worker, PaceOrder order);

/// Puts clearly slow workers first; otherwise keeps the order.
void PutSlowFirst(std::vector<Candidate>& candidates);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_PACE_PLACEMENT_H_
