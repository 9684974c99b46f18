/// @file
/// The row of the platform's table that names the owner of a cell.

#ifndef JASMINESPAR_MEMBERSHIP_OWNERSHIP_ROW_H_
#define JASMINESPAR_MEMBERSHIP_OWNERSHIP_ROW_H_

#include <cstdint>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::membership {

/// Content of the ownership row of one cell in the platform's table.
struct OwnershipRow {
  CellId cell;
  InstanceId owner;  ///< Empty after the last owner released the cell.
  configuration::Address peer;
  Epoch epoch;  ///< Its provisional counter is always 0.
  /// Unique for each write, so that a writer that got no answer can tell from
  /// the row whether its write took effect.
  std::uint64_t claim_id = 0;
  auto operator<=>(const OwnershipRow&) const = default;
};

/// A row with its version in the table; version 0 means that no row exists.
struct VersionedRow {
  OwnershipRow row;
  std::uint64_t version = 0;
  auto operator<=>(const VersionedRow&) const = default;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_OWNERSHIP_ROW_H_
