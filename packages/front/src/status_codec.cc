#include "jasminespar/front/status_codec.h"

#include <nlohmann/json.hpp>

namespace jasminespar::front {
namespace {

using Json = nlohmann::json;

std::string ToText(const configuration::Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

std::string EncodeInstances(const membership::View& view, TimePoint now) {
  Json instances = Json::array();
  for (const membership::Member& member : view.members) {
    instances.push_back(
        {{"id", member.id.value},
         {"data_centre", member.data_centre.value},
         {"caller", ToText(member.caller)},
         {"peer", ToText(member.peer)},
         {"state", RowOf(membership::kMemberStateNames, member.state).name},
         {"heard_ms_ago", ToMilliseconds(now - member.last_seen)}});
  }
  return Json{{"self", view.self.value}, {"instances", instances}}.dump();
}

std::string EncodeCells(const membership::View& view, TimePoint now) {
  Json cells = Json::array();
  for (const membership::CellOwner& cell : view.cells) {
    cells.push_back({{"id", cell.cell.value},
                     {"owner", cell.owner.value},
                     {"epoch", std::to_string(cell.epoch.durable) + "." +
                                   std::to_string(cell.epoch.provisional)},
                     {"recovering", cell.recovering},
                     {"free_accelerators", cell.load.free_accelerators},
                     {"total_accelerators", cell.load.total_accelerators},
                     {"waiting_jobs", cell.load.waiting_jobs},
                     {"running_jobs", cell.load.running_jobs},
                     {"largest_free_shape", cell.load.largest_free_shape},
                     {"heard_ms_ago", ToMilliseconds(LoadAge(cell, now))}});
  }
  return Json{{"cells", cells}}.dump();
}

}  // namespace jasminespar::front
