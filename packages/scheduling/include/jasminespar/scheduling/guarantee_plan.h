/// @file
/// Chooses accelerators for a gang within the guarantee of its account.

#ifndef JASMINESPAR_SCHEDULING_GUARANTEE_PLAN_H_
#define JASMINESPAR_SCHEDULING_GUARANTEE_PLAN_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/scheduling/cell_tree.h"
#include "jasminespar/scheduling/virtual_clusters.h"

namespace jasminespar::scheduling {

/// Number of accelerators that one gang uses inside one bound shape.
struct BindingUse {
  BindingId binding = 0;
  std::uint32_t accelerators = 0;
};

/// Accelerators of a gang inside bound shapes. The uses have already been added
/// to the bindings.
struct GuaranteePlan {
  std::vector<GangPart> parts;
  std::vector<BindingUse> uses;
};

/// Whether a plan may take accelerators from gangs that borrow them.
enum class ReclaimRule : std::uint8_t { kFreeOnly, kMayReclaim };

/// Places the whole gang in the account's guaranteed shapes: in one shape or,
/// if its adjacency is kAny, in several. Binds shapes as needed, preferring the
/// places that split the smallest subtrees, and never breaks the feasibility
/// rule of VirtualClusters.
/// @return the plan, or nothing if the gang does not fit; then nothing has
///     changed.
[[nodiscard]] std::optional<GuaranteePlan> PlanInGuarantee(
    CellTree& tree, VirtualClusters& clusters, AccountIndex account,
    const GangShape& shape, ReclaimRule rule);

/// Binds the account's shapes around accelerators on which a gang already runs.
/// Does not check the feasibility rule, since the gang cannot be placed anew.
/// @return the uses, or nothing if the guarantee cannot contain the whole gang;
///     then nothing has changed.
[[nodiscard]] std::optional<std::vector<BindingUse>> AdoptInGuarantee(
    CellTree& tree, VirtualClusters& clusters, AccountIndex account,
    const std::vector<GangPart>& parts);

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_GUARANTEE_PLAN_H_
