/// @file
/// Workers as the platform lists them, and their grouping into cells.

#ifndef JASMINESPAR_CONFIGURATION_TOPOLOGY_H_
#define JASMINESPAR_CONFIGURATION_TOPOLOGY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"

namespace jasminespar::configuration {

/// Allocations on one worker are stored as a 64-bit mask.
inline constexpr int kMaxAcceleratorsPerWorker = 64;

/// State of an instance or worker in the platform's list, which may be
/// outdated.
enum class MachineState : std::uint8_t { kLive, kLeaving, kGone };

inline constexpr NameTable<MachineState, 3> kMachineStateNames{{
    {MachineState::kLive, "live", "May be given work."},
    {MachineState::kLeaving, "leaving", "Ends what it has; gets nothing new."},
    {MachineState::kGone, "gone", "No longer there."},
}};
static_assert(IsDense(kMachineStateNames));

/// IPv4 address and TCP port.
struct Address {
  std::string host;  ///< For example "127.0.0.1".
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

struct Worker {
  WorkerId id;
  DataCentreId data_centre;
  std::uint32_t rack = 0;  ///< Numbered from 0 within the data centre.
  int accelerators = 0;    ///< 1 to kMaxAcceleratorsPerWorker.
  Address address;         ///< Address of the worker's endpoint.
  MachineState state = MachineState::kLive;
  auto operator<=>(const Worker&) const = default;
};

/// The workers of one cell, ordered by rack and id.
struct CellTopology {
  CellId id;
  std::vector<Worker> workers;
};

/// Groups workers into cells of whole racks: racks [k * racks_per_cell,
/// (k + 1) * racks_per_cell) of a data centre form cell "dc/k".
/// @param racks_per_cell at least 1.
/// @return cells ordered by id.
[[nodiscard]] std::vector<CellTopology> GroupIntoCells(
    std::vector<Worker> workers, std::uint32_t racks_per_cell);

/// @return the data centre part of a cell id.
[[nodiscard]] DataCentreId DataCentreOf(const CellId& cell);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_TOPOLOGY_H_
