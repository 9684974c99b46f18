/// @file
/// The row of the platform's table that says who owns a cell.

#ifndef JASMINESPAR_MEMBERSHIP_OWNERSHIP_ROW_H_
#define JASMINESPAR_MEMBERSHIP_OWNERSHIP_ROW_H_

#include <cstdint>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::membership {

/// Content of the ownership row of one cell in the platform's table.
struct OwnershipRow {
  CellId cell;
  InstanceId owner;  ///< Empty when the last owner gave the cell back.
  configuration::Address peer;
  Epoch epoch;  ///< Durable part only.
  /// Chosen anew for each write, so that a writer whose answer was lost
  /// recognises its own write when it reads the row back.
  std::uint64_t claim_id = 0;
  auto operator<=>(const OwnershipRow&) const = default;
};

/// A row with the table's version of it; version 0 means that there is none.
struct VersionedRow {
  OwnershipRow row;
  std::uint64_t version = 0;
  auto operator<=>(const VersionedRow&) const = default;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_OWNERSHIP_ROW_H_
