#include "jasminespar/membership/routing.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <string>
#include <string_view>

#include "jasminespar/core/digest.h"

namespace jasminespar::membership {
namespace {

/// @return a draw in (0, 1) that depends on the pair alone.
double UnitDraw(const CallId& id, const CellId& cell) {
  const std::uint64_t hash = SeededHash(cell.value, id.high ^ id.low);
  constexpr int kMantissaBits = 53;
  const auto mantissa = static_cast<double>(hash >> (64 - kMantissaBits));
  return (mantissa + 0.5) / static_cast<double>(1ULL << kMantissaBits);
}

RefuseRoute Refuse(Reason reason, Duration retry_after, std::string detail) {
  return RefuseRoute{
      Refusal{reason, Verdict::kNotRun, retry_after, std::move(detail)}};
}

}  // namespace

std::optional<CellId> HomeCell(const CallId& id,
                               const std::vector<WeightedCell>& allowed) {
  const WeightedCell* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (const WeightedCell& candidate : allowed) {
    if (candidate.weight <= 0) continue;
    // The smallest of exponential draws with these rates: each cell wins with
    // probability proportional to its weight.
    const double score =
        -std::log(UnitDraw(id, candidate.cell)) / candidate.weight;
    if (score < best_score) {
      best_score = score;
      best = &candidate;
    }
  }
  if (best == nullptr) return std::nullopt;
  return best->cell;
}

RouteDecision Route(const RoutingSettings& settings, const View& view,
                    const CellId& cell, std::uint32_t hops) {
  const CellOwner* known = view.FindCell(cell);
  if (known == nullptr || known->owner.value.empty()) {
    return Refuse(Reason::kNoOwner, settings.retry_after, cell.value);
  }
  if (known->owner == view.self) return ServeHere{cell, known->epoch};
  const Member* owner = view.FindMember(known->owner);
  if (owner == nullptr || owner->state == MemberState::kSuspected) {
    return Refuse(Reason::kOwnerUnreachable, settings.retry_after, cell.value);
  }
  if (hops >= settings.max_hops) {
    return Refuse(Reason::kHopLimit, settings.retry_after, cell.value);
  }
  return Forward{owner->id, owner->peer, cell, known->epoch};
}

}  // namespace jasminespar::membership
