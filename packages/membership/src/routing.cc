#include "jasminespar/membership/routing.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <string>
#include <string_view>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/digest.h"
#include "jasminespar/membership/rendezvous.h"

namespace jasminespar::membership {
namespace {

/// @return a draw in (0, 1) that depends on the pair alone.
double UnitDraw(const CallId& id, const CellId& cell) {
  const std::uint64_t hash = SeededHash(cell.value, id.high ^ id.low);
  constexpr int kMantissaBits = 53;
  const auto mantissa = static_cast<double>(hash >> (64 - kMantissaBits));
  return (mantissa + 0.5) / static_cast<double>(1ULL << kMantissaBits);
}

double SecondsOf(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// @return seconds until the cell could start the gang, as it was last told.
double StartOf(const CellLoad& cell, int accelerators) {
  const scheduling::LoadSummary& load = cell.load;
  if (load.largest_free_shape >= static_cast<std::uint32_t>(accelerators)) {
    return 0;
  }
  constexpr double kShortestWait = 0.01;  // Seconds.
  return std::max(SecondsOf(load.expected_wait), kShortestWait);
}

/// Added to both waits for each second of age.
constexpr double kWaitPerAge = 1.0;
/// Age at which half of those that would leave stay at home; seconds.
constexpr double kHalfTrustAge = 2.0;

RefuseRoute Refuse(Reason reason, Duration retry_after, std::string detail) {
  return RefuseRoute{
      Refusal{reason, Verdict::kNotRun, retry_after, std::move(detail)}};
}

/// @return an instance that hears the owner of a remote cell, or null.
const Member* FindGateway(const View& view, const CellId& cell) {
  const DataCentreId data_centre = configuration::DataCentreOf(cell);
  if (!view.partial || data_centre == view.data_centre) return nullptr;
  std::vector<InstanceId> heard;
  std::vector<InstanceId> listed;
  for (const Member& member : view.members) {
    if (member.data_centre != data_centre) continue;
    if (member.state == MemberState::kLive) heard.push_back(member.id);
    if (member.listed == configuration::MachineState::kLive) {
      listed.push_back(member.id);
    }
  }
  // Ranked by this instance's id, so that the callers spread over them.
  const std::optional<InstanceId> gateway =
      ChooseOwner(CellId{view.self.value}, heard.empty() ? listed : heard);
  return gateway ? view.FindMember(*gateway) : nullptr;
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
    const Member* gateway = FindGateway(view, cell);
    if (gateway != nullptr && hops == 0) {
      return Forward{gateway->id, gateway->peer, cell, Epoch{}};
    }
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

CellChoice ChooseCell(const CellLoad& home, const CellLoad& other,
                      int accelerators, double draw) {
  const double home_start = StartOf(home, accelerators);
  const double other_start = StartOf(other, accelerators);
  if (home_start <= other_start) return CellChoice::kHome;
  const double age = SecondsOf(std::max(home.age, other.age));
  const double home_blurred = home_start + kWaitPerAge * age;
  const double other_blurred = other_start + kWaitPerAge * age;
  // From one with fresh knowledge of an idle other cell to a half, when the
  // age hides the difference; then to none, as it hides the direction too.
  const double odds = home_blurred / (home_blurred + other_blurred);
  const double trust = 1 / (1 + (age * age) / (kHalfTrustAge * kHalfTrustAge));
  return draw < odds * trust ? CellChoice::kOther : CellChoice::kHome;
}

}  // namespace jasminespar::membership
