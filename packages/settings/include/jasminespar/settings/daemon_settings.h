/// @file
/// Settings of an instance that serves calls, read once when it starts.

#ifndef JASMINESPAR_SETTINGS_DAEMON_SETTINGS_H_
#define JASMINESPAR_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/cell/cell.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::settings {

/// Limits on the connections and requests of callers.
struct CallerLimits {
  std::uint32_t max_connections = 0;  ///< Of all callers together.
  std::uint32_t max_header_bytes = 0;
  std::uint32_t max_body_bytes = 0;
  Duration read_timeout{};  ///< From a request's first byte to its last.
  Duration idle_timeout{};  ///< Between requests.
};

/// Filled by ParseDaemonSettings(). SettingRows() has the defaults.
struct DaemonSettings {
  InstanceId instance;
  DataCentreId data_centre;

  configuration::Address caller_address;
  configuration::Address peer_address;  ///< Bound for UDP and TCP.
  /// Address under which peers reach this instance, if it differs from
  /// `peer_address`, as behind a proxy or NAT; otherwise equal to it.
  configuration::Address advertised_peer_address;
  configuration::Address platform_address;

  std::uint32_t racks_per_cell = 0;  ///< The same on every instance of a site.
  Duration heartbeat_interval{};
  Duration suspect_after{};  ///< Silence after which a peer is suspected.
  Duration list_poll_interval{};
  Duration configuration_poll_interval{};

  std::uint32_t journal_write_budget = 0;  ///< Rows per second, whole site.
  std::uint32_t journal_max_batch_bytes = 0;

  std::uint32_t worker_connections = 0;  ///< Connections to each endpoint.
  /// Timeout of one long poll for a worker's report.
  Duration report_wait{};

  cell::CellSettings cell;
  CallerLimits caller_limits;

  std::uint32_t ring_capacity = 0;  ///< Messages in each ring.
  Duration shutdown_grace{};        ///< Longest wait for requests in progress.
  std::string log_folder;           ///< Empty to log to standard error.
};

/// An invalid line, or a setting that is missing, unknown or invalid.
struct SettingError {
  std::string file;
  int line = 0;  ///< 0 if the key is not in the file.
  std::string section;
  std::string key;
  std::string message;
  /// Allowed values; empty for an unknown key or a malformed line.
  std::string allowed;
  auto operator<=>(const SettingError&) const = default;
};

/// @return "file:line: [section] key: message; allowed: range", without the
///     parts that are empty.
[[nodiscard]] std::string ToString(const SettingError& error);

/// @param text contents of the INI file; docs/SETTINGS.md lists the keys.
/// @param file_name name of the file, used in errors only.
/// @return the settings, or all errors, ordered by line.
[[nodiscard]] std::variant<DaemonSettings, std::vector<SettingError>>
ParseDaemonSettings(const std::string& text, const std::string& file_name);

/// @return INI text that ParseDaemonSettings() parses to the same settings.
[[nodiscard]] std::string PrintDaemonSettings(const DaemonSettings& settings);

/// @return the contents of docs/SETTINGS.md, generated from the tables of
///     settings.
[[nodiscard]] std::string SettingsPage();

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_DAEMON_SETTINGS_H_
