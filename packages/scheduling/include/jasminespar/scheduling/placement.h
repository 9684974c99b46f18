/// @file
/// Search for accelerators for a gang, without changing anything.

#ifndef JASMINESPAR_SCHEDULING_PLACEMENT_H_
#define JASMINESPAR_SCHEDULING_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/scheduling/cell_tree.h"
#include "jasminespar/scheduling/policy.h"

namespace jasminespar::scheduling {

/// Accelerators of one worker that a gang may take.
struct Candidate {
  WorkerIndex worker = 0;
  std::uint64_t eligible = 0;
  std::uint64_t free = 0;  ///< Subset of `eligible` that needs no reclaim.
};

/// Candidates in order of worker index; those with nothing eligible left out.
using Candidates = std::vector<Candidate>;

/// @return the accelerators for a gang of that shape, free ones first, or
///     nothing when they do not suffice. parts[0] is rank 0.
[[nodiscard]] std::optional<std::vector<Part>> FindPlacement(
    const PlacementPolicy& policy, const CellTree& tree,
    const Candidates& candidates, const GangShape& shape);

/// @return `count` bits of `mask`, at most its population, that break up the
///     smallest aligned blocks.
[[nodiscard]] std::uint64_t PickTightest(std::uint64_t mask, int count);

/// Joins parts of the same worker.
[[nodiscard]] std::vector<Part> MergeParts(std::vector<Part> parts);

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_PLACEMENT_H_
