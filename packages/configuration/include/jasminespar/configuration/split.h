/// @file
/// Distributes the guarantees of all accounts over the cells, in whole shapes.

#ifndef JASMINESPAR_CONFIGURATION_SPLIT_H_
#define JASMINESPAR_CONFIGURATION_SPLIT_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::configuration {

/// Shapes of a guarantee that did not fit on the live workers.
struct UnplacedGuarantee {
  ClientAccountId account;
  Guarantee missing;
  auto operator<=>(const UnplacedGuarantee&) const = default;
};

/// `shares` contains every cell, and in each of them every account.
struct SplitResult {
  std::map<CellId, CellShare> shares;
  std::vector<UnplacedGuarantee> unplaced;  ///< Empty if all fit.
};

/// Assigns each guaranteed shape to a cell. Deterministic: instances with equal
/// arguments compute equal results.
///
/// Shapes stay in the cell that has them in `previous` while they fit there.
/// The others are placed, largest first, in the cell with the fewest shapes of
/// that level for the account, so that an unreachable cell costs each account
/// little.
/// @param previous shares from an earlier split; may be empty.
[[nodiscard]] SplitResult Split(const Configuration& configuration,
                                const std::vector<CellTopology>& cells,
                                const std::map<CellId, CellShare>& previous);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_SPLIT_H_
