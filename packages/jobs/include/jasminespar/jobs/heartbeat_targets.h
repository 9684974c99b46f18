/// @file
/// Chooses the peers that an instance sends its heartbeats to.

#ifndef JASMINESPAR_JOBS_HEARTBEAT_TARGETS_H_
#define JASMINESPAR_JOBS_HEARTBEAT_TARGETS_H_

#include <cstddef>
#include <set>
#include <vector>

#include "jasminespar/core/ids.h"

namespace jasminespar::jobs {

/// Sites of up to so many instances send every heartbeat to all peers.
inline constexpr std::size_t kFullMeshInstances = 12;

/// A search for a peer that the table serves asks so many peers at a time.
inline constexpr std::size_t kSearchedPeers = 24;

/// Instances form a ring in the order of a hash of their names. Each sends
/// heartbeats to the peers that follow it at distances 1, 2, 4 and so on, so
/// the number of heartbeats that one sends and receives grows with the
/// logarithm of the number of instances, and news that each passes on reaches
/// all of them in as many steps. Not thread-safe.
class HeartbeatTargets {
 public:
  explicit HeartbeatTargets(InstanceId self);

  /// Adds a member of the site; its own name and known ones change nothing.
  void Add(const InstanceId& member);

  /// @return the peers of the regular heartbeats.
  [[nodiscard]] const std::vector<InstanceId>& neighbours() const noexcept {
    return neighbours_;
  }

  /// @return the next kSearchedPeers peers, so that repeated calls reach all.
  [[nodiscard]] std::vector<InstanceId> NextSearched();

 private:
  void ChooseNeighbours();

  InstanceId self_;
  std::set<InstanceId> members_;
  std::vector<InstanceId> ring_;  ///< All peers, from the next one on.
  std::vector<InstanceId> neighbours_;
  std::size_t searched_ = 0;  ///< Position in the ring.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_HEARTBEAT_TARGETS_H_
