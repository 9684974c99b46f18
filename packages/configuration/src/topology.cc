#include "jasminespar/configuration/topology.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace jasminespar::configuration {

std::vector<CellTopology> GroupIntoCells(std::vector<Worker> workers,
                                         std::uint32_t racks_per_cell) {
  std::sort(workers.begin(), workers.end(),
            [](const Worker& a, const Worker& b) {
              return std::tie(a.data_centre, a.rack, a.id) <
                     std::tie(b.data_centre, b.rack, b.id);
            });
  std::map<CellId, CellTopology> cells;
  for (Worker& worker : workers) {
    const std::uint32_t index = worker.rack / racks_per_cell;
    CellId id{worker.data_centre.value + "/" + std::to_string(index)};
    CellTopology& cell = cells[id];
    cell.id = std::move(id);
    cell.workers.push_back(std::move(worker));
  }
  std::vector<CellTopology> result;
  result.reserve(cells.size());
  for (auto& [id, cell] : cells) result.push_back(std::move(cell));
  return result;
}

DataCentreId DataCentreOf(const CellId& cell) {
  return DataCentreId{cell.value.substr(0, cell.value.rfind('/'))};
}

}  // namespace jasminespar::configuration
