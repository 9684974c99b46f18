#include "jasminespar/membership/candidates.h"

#include <algorithm>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/membership/rendezvous.h"

namespace jasminespar::membership {

Candidates::Candidates(const View& view) {
  for (const Member& member : view.members) {
    DataCentre& data_centre = data_centres_[member.data_centre];
    if (member.listed == configuration::MachineState::kLive) {
      data_centre.has_listed_live = true;
    }
    if (member.state == MemberState::kLive) {
      data_centre.live.push_back(member.id);
      all_live_.push_back(member.id);
    }
    if (member.state == MemberState::kLeaving && !member.announced_leaving) {
      data_centre.listed_leaving.push_back(member.id);
    }
  }
}

const std::vector<InstanceId>& Candidates::InDataCentre(
    const DataCentreId& data_centre) const {
  const auto found = data_centres_.find(data_centre);
  if (found == data_centres_.end()) return all_live_;
  if (!found->second.live.empty()) return found->second.live;
  if (all_live_.empty()) return found->second.listed_leaving;
  return found->second.has_listed_live ? none_ : all_live_;
}

std::optional<std::size_t> Candidates::RankOf(
    const CellId& cell, const InstanceId& instance) const {
  const std::vector<InstanceId>& candidates =
      InDataCentre(configuration::DataCentreOf(cell));
  if (std::find(candidates.begin(), candidates.end(), instance) ==
      candidates.end()) {
    return std::nullopt;
  }
  const std::vector<InstanceId> ranked = RankCandidates(cell, candidates);
  return static_cast<std::size_t>(
      std::find(ranked.begin(), ranked.end(), instance) - ranked.begin());
}

std::optional<InstanceId> Candidates::BestOf(const CellId& cell) const {
  return ChooseOwner(cell, InDataCentre(configuration::DataCentreOf(cell)));
}

}  // namespace jasminespar::membership
