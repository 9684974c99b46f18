/// @file
/// Rendezvous hashing: every instance ranks the same candidates in the same
/// order, and a candidate that joins or leaves moves only its own cells.

#ifndef JASMINESPAR_MEMBERSHIP_RENDEZVOUS_H_
#define JASMINESPAR_MEMBERSHIP_RENDEZVOUS_H_

#include <optional>
#include <vector>

#include "jasminespar/core/ids.h"

namespace jasminespar::membership {

/// @return the candidate that ranks first for the cell, or nothing when
///     `candidates` is empty.
[[nodiscard]] std::optional<InstanceId> ChooseOwner(
    const CellId& cell, const std::vector<InstanceId>& candidates);

/// @return the candidates, best first.
[[nodiscard]] std::vector<InstanceId> RankCandidates(
    const CellId& cell, std::vector<InstanceId> candidates);

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_RENDEZVOUS_H_
