/// @file
/// Divides every guarantee over the cells, in whole shapes.

#ifndef JASMINESPAR_CONFIGURATION_SPLIT_H_
#define JASMINESPAR_CONFIGURATION_SPLIT_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::configuration {

/// Shapes of one guarantee that the live workers cannot hold.
struct UnplacedGuarantee {
  ClientAccountId account;
  Guarantee missing;
  auto operator<=>(const UnplacedGuarantee&) const = default;
};

/// `shares` holds every cell, and every account in each of them.
struct SplitResult {
  std::map<CellId, CellShare> shares;
  std::vector<UnplacedGuarantee> unplaced;  ///< Empty when all is honoured.
};

/// Equal arguments give equal results on every instance.
///
/// Shapes stay where `previous` has them while they fit there. The others go,
/// largest first, to the cell with the fewest shapes of their account, so that
/// one that is cut off costs each account little.
/// @param previous shares of an earlier split; may be empty.
[[nodiscard]] SplitResult Split(const Configuration& configuration,
                                const std::vector<CellTopology>& cells,
                                const std::map<CellId, CellShare>& previous);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_SPLIT_H_
