/// @file
/// Chooses accelerators for a gang among candidates; changes no state.

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

/// Candidates in order of worker index; none has an empty `eligible` mask.
using Candidates = std::vector<Candidate>;

/// @return the accelerators for a gang of that shape, or nothing if the
///     candidates do not suffice. The first part has rank 0. BestFit prefers
///     free accelerators to eligible ones that need a reclaim.
[[nodiscard]] std::optional<std::vector<GangPart>> FindPlacement(
    const PlacementPolicy& policy, const CellTree& tree,
    const Candidates& candidates, const GangShape& shape);

/// @param count at most the number of bits in `mask`.
/// @return `count` bits of `mask`, chosen so that they split the smallest
///     aligned blocks.
[[nodiscard]] std::uint64_t PickBestFit(std::uint64_t mask, int count);

/// Merges parts on the same worker into one.
[[nodiscard]] std::vector<GangPart> MergeParts(std::vector<GangPart> parts);

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_PLACEMENT_H_
