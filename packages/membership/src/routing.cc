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

/// @return a pseudo-random number in (0, 1) that depends on the pair alone.
double UniformDraw(const CallId& id, const CellId& cell) {
  const std::uint64_t hash = SeededHash(cell.value, id.high ^ id.low);
  constexpr int kMantissaBits = 53;
  const auto mantissa = static_cast<double>(hash >> (64 - kMantissaBits));
  return (mantissa + 0.5) / static_cast<double>(1ULL << kMantissaBits);
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return seconds until the cell can start the gang, per its last report.
double ExpectedStart(const CellLoad& cell, int accelerators) {
  const scheduling::LoadSummary& load = cell.load;
  if (load.largest_free_shape >= static_cast<std::uint32_t>(accelerators)) {
    return 0;
  }
  constexpr double kMinWaitSeconds = 0.01;
  return std::max(ToSeconds(load.expected_wait), kMinWaitSeconds);
}

/// Seconds added to both waits for each second of age of the reports.
constexpr double kWaitPerAgeSecond = 1.0;
/// Age at which half of the calls that would go to the other cell stay.
constexpr double kHalfTrustAgeSeconds = 2.0;

RefuseRoute Refuse(Reason reason, Duration retry_after, std::string detail) {
  return RefuseRoute{
      Refusal{reason, Verdict::kNotRun, retry_after, std::move(detail)}};
}

/// @return an instance that gets the heartbeats of a remote cell's owner, or
///     null.
const Member* FindGateway(const View& view, const CellId& cell) {
  const DataCentreId data_centre = configuration::DataCentreOf(cell);
  if (!view.partial || data_centre == view.data_centre) return nullptr;
  std::vector<InstanceId> live;
  std::vector<InstanceId> listed;
  for (const Member& member : view.members) {
    if (member.data_centre != data_centre) continue;
    if (member.state == MemberState::kLive) live.push_back(member.id);
    if (member.listed == configuration::MachineState::kLive) {
      listed.push_back(member.id);
    }
  }
  // Ranked by this instance's id, so that the instances choose different ones.
  const std::optional<InstanceId> gateway =
      ChooseOwner(CellId{view.self.value}, live.empty() ? listed : live);
  return gateway ? view.FindMember(*gateway) : nullptr;
}

}  // namespace

std::optional<CellId> HomeCell(const CallId& id,
                               const std::vector<WeightedCell>& allowed) {
  const WeightedCell* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (const WeightedCell& candidate : allowed) {
    if (candidate.weight <= 0) continue;
    // An exponential draw whose rate is the weight: the probability that a cell
    // has the smallest one is proportional to its weight.
    const double score =
        -std::log(UniformDraw(id, candidate.cell)) / candidate.weight;
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
  const double home_start = ExpectedStart(home, accelerators);
  const double other_start = ExpectedStart(other, accelerators);
  if (home_start <= other_start) return CellChoice::kHome;
  const double age = ToSeconds(std::max(home.age, other.age));
  const double adjusted_home = home_start + kWaitPerAgeSecond * age;
  const double adjusted_other = other_start + kWaitPerAgeSecond * age;
  // The share of calls that go to the other cell is 1 when a fresh report shows
  // that cell idle. With age, `share` falls to 1/2, as the difference of the
  // waits becomes uncertain, and `trust` to 0, as it becomes uncertain which
  // wait is shorter.
  const double share = adjusted_home / (adjusted_home + adjusted_other);
  const double trust =
      1 / (1 + (age * age) / (kHalfTrustAgeSeconds * kHalfTrustAgeSeconds));
  return draw < share * trust ? CellChoice::kOther : CellChoice::kHome;
}

}  // namespace jasminespar::membership
