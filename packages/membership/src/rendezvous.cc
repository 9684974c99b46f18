#include "jasminespar/membership/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "jasminespar/core/digest.h"

namespace jasminespar::membership {
namespace {

std::uint64_t Score(const CellId& cell, const InstanceId& candidate) {
  return SeededHash(candidate.value, DigestOf(cell.value).value);
}

/// Orders by score and, should two be equal, by id.
bool RanksBefore(const CellId& cell, const InstanceId& a, const InstanceId& b) {
  const std::uint64_t score_a = Score(cell, a);
  const std::uint64_t score_b = Score(cell, b);
  return score_a != score_b ? score_a > score_b : a < b;
}

}  // namespace

std::optional<InstanceId> ChooseOwner(
    const CellId& cell, const std::vector<InstanceId>& candidates) {
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&cell](const InstanceId& a, const InstanceId& b) {
                         return RanksBefore(cell, a, b);
                       });
  if (best == candidates.end()) return std::nullopt;
  return *best;
}

std::vector<InstanceId> RankCandidates(const CellId& cell,
                                       std::vector<InstanceId> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [&cell](const InstanceId& a, const InstanceId& b) {
              return RanksBefore(cell, a, b);
            });
  return candidates;
}

}  // namespace jasminespar::membership
