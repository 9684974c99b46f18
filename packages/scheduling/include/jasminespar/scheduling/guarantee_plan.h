/// @file
/// Fits a gang into the guarantee of its account.

#ifndef JASMINESPAR_SCHEDULING_GUARANTEE_PLAN_H_
#define JASMINESPAR_SCHEDULING_GUARANTEE_PLAN_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/scheduling/cell_tree.h"
#include "jasminespar/scheduling/virtual_clusters.h"

namespace jasminespar::scheduling {

/// Accelerators of one gang inside one bound shape.
struct BindingUse {
  BindingId binding = 0;
  std::uint32_t accelerators = 0;
};

/// Accelerators inside bound shapes; the uses have been entered already.
struct GuaranteePlan {
  std::vector<Part> parts;
  std::vector<BindingUse> uses;
};

/// Whether a plan may take accelerators from gangs that borrow them.
enum class ReclaimRule : std::uint8_t { kFreeOnly, kMayReclaim };

/// Finds room for the whole gang in the account's shapes: in one shape, or,
/// where the gang may lie anywhere, in several. Binds shapes as needed, those
/// first that break up the least, and never against the cover rule.
/// @return the plan, or nothing, and then nothing is changed.
[[nodiscard]] std::optional<GuaranteePlan> PlanInGuarantee(
    CellTree& tree, VirtualClusters& clusters, AccountIndex account,
    const GangShape& shape, ReclaimRule rule);

/// Binds the account's shapes around accelerators on which a gang already
/// runs, without regard to the cover rule: what runs is a fact.
/// @return the uses, or nothing, when the guarantee does not hold the whole
///     gang, and then nothing is changed.
[[nodiscard]] std::optional<std::vector<BindingUse>> AdoptInGuarantee(
    CellTree& tree, VirtualClusters& clusters, AccountIndex account,
    const std::vector<Part>& parts);

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_GUARANTEE_PLAN_H_
