/// @file
/// Instances, workers and ports of a site on the local machine.

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

/// One `jasmined`. Its peers reach it, and it reaches the platform, through the
/// proxy.
struct PlannedInstance {
  InstanceId id;
  DataCentreId data_centre;
  std::uint16_t caller_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t proxied_peer_port = 0;
  std::uint16_t proxied_platform_port = 0;
};

/// The endpoint of one worker; instances reach it through the proxy.
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
  std::vector<PlannedWorker> workers;  ///< Ids from 1; consecutive ports.
  int accelerators_per_worker = 8;
  std::uint16_t platform_port = 0;
  std::uint16_t proxy_admin_port = 0;
  std::uint16_t workers_admin_port = 0;
};

/// @return how many ports a site of that kind needs.
[[nodiscard]] std::uint16_t PortCount(SiteKind kind);

/// @param first_port first of PortCount(kind) consecutive free ports.
[[nodiscard]] SitePlan PlanSite(SiteKind kind, std::uint16_t first_port);

/// @return the first of `count` consecutive ports that are free for TCP and UDP
///     on the local machine.
/// @throws std::runtime_error when there are none.
[[nodiscard]] std::uint16_t FindFreePorts(std::uint16_t count);

/// @param leaving workers to list as leaving.
/// @return the platform's list of the site's instances and workers.
[[nodiscard]] nlohmann::json MakeInstanceList(
    const SitePlan& plan, const std::vector<WorkerId>& leaving);

/// @return the proxy's routes: `platform/{data centre}/{instance}`,
///     `peer/{data centre}/{instance}/tcp` and `/udp`, `endpoint/{worker}/`.
[[nodiscard]] nlohmann::json MakeProxyRoutes(const SitePlan& plan);

/// @param extra lines to append, with their `[section]` headers.
/// @return the INI settings of one instance.
[[nodiscard]] std::string MakeInstanceSettings(const PlannedInstance& instance,
                                               std::string_view extra);

/// @return a first release note with one service and `accounts` client
///     accounts, `account-0` and so on, each guaranteed `workers_each` whole
///     workers.
[[nodiscard]] nlohmann::json MakeFirstNote(int accounts, int workers_each);

/// @param base revision that the note builds on.
/// @return a release note that changes the weight of one account of the first
///     note.
[[nodiscard]] nlohmann::json MakeWeightNote(const std::string& id,
                                            std::uint64_t base, int account,
                                            double weight, int workers_each);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_SITE_PLAN_H_
