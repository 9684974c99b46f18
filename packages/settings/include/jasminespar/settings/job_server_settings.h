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
#include "jasminespar/core/switch.h"
#include "jasminespar/core/time.h"
#include "jasminespar/settings/daemon_settings.h"

namespace jasminespar::settings {

/// Filled by ParseJobServerSettings(). SettingRows() has the defaults.
struct JobServerSettings {
  InstanceId instance;
  DataCentreId data_centre;
  /// Instances with more memory are preferred as owners.
  std::uint32_t memory_bytes = 0;

  configuration::Address caller_address;     ///< Accepts and reports jobs.
  configuration::Address readiness_address;  ///< Queried by the load balancer.
  configuration::Address metrics_address;    ///< Serves GET /metrics.
  configuration::Address peer_address;   ///< For other instances, UDP and TCP.
  configuration::Address table_address;  ///< The site's table service.
  std::uint32_t max_row_bytes = 0;  ///< Largest value of a row of the table.

  Duration max_lease{};  ///< Longest lease that a worker grants to a run.
  /// How long the state of a finished job can be queried.
  Duration status_retention{};
  /// Time until a task resumed from a checkpoint makes progress again.
  Duration resume_delay{};
  Duration stop_limit{};      ///< Longest time that a run takes to stop.
  Duration entry_interval{};  ///< Between two reports to the platform.
  /// Longest wait of a job under its account's guarantee before it starts.
  Duration reclaim_within{};
  /// Time after which nothing may start in a data centre that the operator
  /// empties; zero: the operator empties none.
  Duration evacuate_within{};

  Switch worker_pace = Switch::kOn;  ///< Decisions use the pace of workers.
  Switch caller_cost = Switch::kOn;  ///< They bound the wait of late jobs.
  Switch departures = Switch::kOn;   ///< They use notices of departure.

  /// Time between the request to stop and the kill of the process.
  Duration shutdown_grace{};

  std::uint32_t max_connections = 0;  ///< Of all callers together.

  std::uint32_t client_memory_percent = 0;  ///< Of memory_bytes.
  std::uint32_t max_framing_bytes = 0;      ///< Of one request.
  std::uint32_t max_peer_connections = 0;   ///< Accepted at peer_address.
  /// Of the readiness and of the metrics address, each.
  std::uint32_t max_probe_connections = 0;

  std::uint32_t ring_capacity = 0;  ///< Messages in each ring.
};

/// @param text contents of the INI file; docs/SETTINGS.md lists the keys.
/// @param file_name name of the file, used in errors only.
/// @return the settings, or all errors, ordered by line.
[[nodiscard]] std::variant<JobServerSettings, std::vector<SettingError>>
ParseJobServerSettings(const std::string& text, const std::string& file_name);

/// @return INI text that ParseJobServerSettings() parses to the same settings.
[[nodiscard]] std::string PrintJobServerSettings(
    const JobServerSettings& settings);

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_JOB_SERVER_SETTINGS_H_
