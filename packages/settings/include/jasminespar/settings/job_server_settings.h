/// @file
/// Settings of an instance that serves jobs.

#ifndef JASMINESPAR_SETTINGS_JOB_SERVER_SETTINGS_H_
#define JASMINESPAR_SETTINGS_JOB_SERVER_SETTINGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/settings/daemon_settings.h"

namespace jasminespar::settings {

/// Filled by ParseJobServerSettings; defaults stand in its table.
struct JobServerSettings {
  InstanceId instance;
  DataCentreId data_centre;
  std::uint32_t memory_bytes = 0;  ///< The larger, the sooner it owns a cell.

  configuration::Address callers;    ///< Serves jobs.
  configuration::Address readiness;  ///< Asked by the balancer.
  configuration::Address metrics;
  configuration::Address peers;  ///< Heard by other instances, UDP and TCP.
  configuration::Address table;  ///< Where the site's table is reached.

  Duration max_lease{};
  Duration status_retention{};
  Duration resume_delay{};
  Duration stop_limit{};
  Duration reclaim_within{};
  Duration shutdown_grace{};

  std::uint32_t max_connections = 0;
  std::uint32_t ring_capacity = 0;  ///< Messages in each ring.
};

/// @param text INI; docs/SETTINGS.md lists the keys.
/// @param file_name used in faults only.
/// @return the settings, or every fault at once, ordered by line.
[[nodiscard]] std::variant<JobServerSettings, std::vector<SettingFault>>
ParseJobServerSettings(const std::string& text, const std::string& file_name);

/// @return INI text that parses to the same settings.
[[nodiscard]] std::string PrintJobServerSettings(
    const JobServerSettings& settings);

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_JOB_SERVER_SETTINGS_H_
