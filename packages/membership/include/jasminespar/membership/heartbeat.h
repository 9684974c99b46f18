/// @file
/// What an instance tells its peers about itself, several times in the time
/// after which silence makes it suspected.

#ifndef JASMINESPAR_MEMBERSHIP_HEARTBEAT_H_
#define JASMINESPAR_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::membership {

/// A cell that the sender owns, with its present load.
struct OwnedCell {
  CellId cell;
  Epoch epoch;
  bool recovering = false;  ///< Claimed, but its state is still being read.
  scheduling::LoadSummary load;
};

struct Heartbeat {
  InstanceId instance;
  std::uint64_t incarnation = 0;  ///< Rises with each start of the instance.
  std::uint64_t sequence = 0;     ///< Rises within one incarnation, from 1.
  DataCentreId data_centre;
  configuration::Address caller;
  configuration::Address peer;
  bool leaving = false;
  Revision revision;  ///< Of the configuration in force at the sender.
  std::vector<OwnedCell> cells;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_HEARTBEAT_H_
