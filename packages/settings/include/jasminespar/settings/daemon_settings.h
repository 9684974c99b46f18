/// @file
/// Settings of one instance, read once when it starts.

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

/// Bounds on what one caller may hold of the instance.
struct CallerLimits {
  std::uint32_t max_connections = 0;
  std::uint32_t max_header_bytes = 0;
  std::uint32_t max_body_bytes = 0;
  Duration read_timeout{};  ///< For the rest of a request once begun.
  Duration idle_timeout{};  ///< Between requests.
};

/// Filled by ParseDaemonSettings; defaults stand in SettingRows().
struct DaemonSettings {
  InstanceId instance;
  DataCentreId data_centre;

  configuration::Address caller_address;
  configuration::Address peer_address;  ///< Bound for UDP and for TCP.
  /// Where peers reach this instance; `peer_address` unless set.
  configuration::Address advertised_peer_address;
  configuration::Address platform_address;

  std::uint32_t racks_per_cell = 0;
  Duration heartbeat_interval{};
  Duration suspect_after{};  ///< Silence after which a peer is suspected.
  Duration list_poll_interval{};
  Duration configuration_poll_interval{};

  std::uint32_t journal_write_budget = 0;  ///< Rows a second, whole site.
  std::uint32_t journal_max_batch_bytes = 0;

  std::uint32_t worker_connections = 0;  ///< To each endpoint.
  Duration report_wait{};                ///< Long poll of a worker's report.

  cell::CellSettings cell;
  CallerLimits caller_limits;

  std::uint32_t ring_capacity = 0;  ///< Messages in each ring.
  Duration shutdown_grace{};
  std::string log_folder;  ///< Empty: standard error.
};

/// What is wrong with one line or key.
struct SettingFault {
  std::string file;
  int line = 0;  ///< 0 when the key is missing.
  std::string section;
  std::string key;
  std::string message;
  std::string allowed;  ///< The allowed range; empty for an unknown key.
  auto operator<=>(const SettingFault&) const = default;
};

/// @return "file:line: [section] key: message; allowed: range".
[[nodiscard]] std::string ToString(const SettingFault& fault);

/// @param text INI; docs/SETTINGS.md lists the keys.
/// @param file_name used in faults only.
/// @return the settings, or every fault at once, ordered by line.
[[nodiscard]] std::variant<DaemonSettings, std::vector<SettingFault>>
ParseDaemonSettings(const std::string& text, const std::string& file_name);

/// @return INI text that parses to the same settings.
[[nodiscard]] std::string PrintDaemonSettings(const DaemonSettings& settings);

/// @return docs/SETTINGS.md.
[[nodiscard]] std::string SettingsPage();

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_DAEMON_SETTINGS_H_
