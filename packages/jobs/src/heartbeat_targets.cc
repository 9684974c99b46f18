#include "jasminespar/jobs/heartbeat_targets.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "jasminespar/core/digest.h"

namespace jasminespar::jobs {

namespace {

std::uint64_t PositionOf(const InstanceId& instance) {
  return SeededHash(instance.value, 0);
}

}  // namespace

HeartbeatTargets::HeartbeatTargets(InstanceId self) : self_(std::move(self)) {}

void HeartbeatTargets::Add(const InstanceId& member) {
  if (member == self_ || !members_.insert(member).second) return;
  const std::uint64_t own = PositionOf(self_);
  // Distances on the ring wrap around, as unsigned numbers do.
  const auto distance = [own](const InstanceId& peer) {
    return PositionOf(peer) - own;
  };
  const auto place = std::upper_bound(
      ring_.begin(), ring_.end(), member,
      [&](const auto& a, const auto& b) { return distance(a) < distance(b); });
  ring_.insert(place, member);
  ChooseNeighbours();
}

void HeartbeatTargets::ChooseNeighbours() {
  neighbours_.clear();
  const bool all = ring_.size() < kFullMeshInstances;
  for (std::size_t step = 1; step <= ring_.size();
       step = all ? step + 1 : 2 * step) {
    neighbours_.push_back(ring_[step - 1]);
  }
}

std::vector<InstanceId> HeartbeatTargets::NextSearched() {
  std::vector<InstanceId> chosen;
  const std::size_t count = std::min(kSearchedPeers, ring_.size());
  for (std::size_t i = 0; i < count; ++i) {
    searched_ = (searched_ + 1) % ring_.size();
    chosen.push_back(ring_[searched_]);
  }
  return chosen;
}

}  // namespace jasminespar::jobs
