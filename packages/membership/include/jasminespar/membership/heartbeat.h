/// @file
/// The status message that an instance sends to its peers, several times
/// within `MemberSettings::suspect_after`.

#ifndef JASMINESPAR_MEMBERSHIP_HEARTBEAT_H_
#define JASMINESPAR_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::membership {

/// A cell that the sender owns, with its current load.
struct OwnedCell {
  CellId cell;
  Epoch epoch;
  bool recovering = false;  ///< Claimed; its state is still being read.
  scheduling::LoadSummary load;
};

struct Heartbeat {
  InstanceId instance;
  std::uint64_t incarnation = 0;  ///< Increases with each start.
  std::uint64_t sequence = 0;     ///< Per incarnation, from 1.
  DataCentreId data_centre;
  configuration::Address caller;
  configuration::Address peer;
  bool leaving = false;
  Revision revision;  ///< Of the sender's active configuration.
  std::vector<OwnedCell> cells;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_HEARTBEAT_H_
