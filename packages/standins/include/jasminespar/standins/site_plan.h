/// @file
/// What stands where in a site on this machine.

#ifndef JASMINESPAR_STANDINS_SITE_PLAN_H_
#define JASMINESPAR_STANDINS_SITE_PLAN_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"

namespace jasminespar::standins {

enum class SiteKind : std::uint8_t { kSmall, kSaoMai, kLoneStar };

inline constexpr NameTable<SiteKind, 3> kSiteKindNames{{
    {SiteKind::kSmall, "small", "Two data centres, for tests."},
    {SiteKind::kSaoMai, "sao-mai", "Three data centres, 8 workers a rack."},
    {SiteKind::kLoneStar, "lone-star", "Four data centres, 6 workers a rack."},
}};
static_assert(IsDense(kSiteKindNames));

/// One `jasmined`; the proxy stands between it and its peers and platform.
struct PlannedInstance {
  InstanceId id;
  DataCentreId data_centre;
  std::uint16_t caller_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t proxied_peer_port = 0;
  std::uint16_t proxied_platform_port = 0;
};

struct PlannedWorker {
  WorkerId id;
  DataCentreId data_centre;
  std::uint32_t rack = 0;
  std::uint16_t port = 0;
  std::uint16_t proxied_port = 0;
};

struct SitePlan {
  std::vector<DataCentreId> data_centres;
  std::vector<PlannedInstance> instances;
  std::vector<PlannedWorker> workers;  ///< Ids and ports without gaps.
  int accelerators_per_worker = 8;
  std::uint16_t platform_port = 0;
  std::uint16_t proxy_admin_port = 0;
  std::uint16_t workers_admin_port = 0;
};

/// @return how many ports a plan of that kind takes.
[[nodiscard]] std::uint16_t PortsOf(SiteKind kind);

/// @param first_port first of PortsOf(kind) free ports in a row.
[[nodiscard]] SitePlan PlanSite(SiteKind kind, std::uint16_t first_port);

/// @return the first of `count` ports in a row that nothing on this machine
///     uses now, for TCP and UDP.
/// @throws std::runtime_error when there is no such row.
[[nodiscard]] std::uint16_t FindFreePorts(std::uint16_t count);

/// @return the platform's list of that site.
/// @param leaving workers listed as leaving.
[[nodiscard]] nlohmann::json ListOf(const SitePlan& plan,
                                    const std::vector<WorkerId>& leaving);

/// @return the routes of the proxy: `platform/{data centre}/{instance}`,
///     `peer/{data centre}/{instance}/tcp` and `/udp`, `endpoint/{worker}/`.
[[nodiscard]] nlohmann::json RoutesOf(const SitePlan& plan);

/// @return the INI settings of one instance.
/// @param extra further lines, `[section]` headers included.
[[nodiscard]] std::string SettingsOf(const PlannedInstance& instance,
                                     std::string_view extra);

/// @return the first release note: that many client accounts, `account-0` and
///     so on, each guaranteed `workers_each` whole workers, and one service.
[[nodiscard]] nlohmann::json MakeFirstNote(int accounts, int workers_each);

/// @return a note that changes the weight of one account of the first note.
[[nodiscard]] nlohmann::json MakeWeightNote(const std::string& id,
                                            std::uint64_t base, int account,
                                            double weight, int workers_each);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_SITE_PLAN_H_
