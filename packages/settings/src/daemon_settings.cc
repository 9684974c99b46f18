#include "jasminespar/settings/daemon_settings.h"

#include "row_parser.h"

namespace jasminespar::settings {

namespace {

/// Sets the parts of the advertised address that are not configured.
void FillAdvertisedAddress(DaemonSettings& settings) {
  configuration::Address& advertised = settings.advertised_peer_address;
  if (advertised.host.empty()) advertised.host = settings.peer_address.host;
  if (advertised.port == 0) advertised.port = settings.peer_address.port;
}

/// Reports settings that are each in range but contradict each other.
void CheckConsistency(const DaemonSettings& settings,
                      RowParser<DaemonSettings>& parser) {
  if (settings.suspect_after < 2 * settings.heartbeat_interval) {
    parser.AddErrorAt("peers", "suspect_after",
                      "under twice heartbeat_interval: one lost datagram "
                      "would make a peer suspected");
  }
  if (settings.cell.hold >= settings.cell.worker_lease) {
    parser.AddErrorAt("cells", "hold", "not under worker_lease");
  }
  if (settings.report_wait >= settings.cell.worker_lease) {
    parser.AddErrorAt("workers", "report_wait",
                      "not under [cells] worker_lease");
  }
}

}  // namespace

std::string ToString(const SettingError& error) {
  std::string text = error.file;
  if (error.line > 0) text += ":" + std::to_string(error.line);
  text += ": ";
  if (!error.section.empty()) text += "[" + error.section + "] ";
  if (!error.key.empty()) text += error.key + ": ";
  text += error.message;
  if (!error.allowed.empty()) text += "; allowed: " + error.allowed;
  return text;
}

std::variant<DaemonSettings, std::vector<SettingError>> ParseDaemonSettings(
    const std::string& text, const std::string& file_name) {
  return RowParser<DaemonSettings>(text, file_name)
      .Finish(FillAdvertisedAddress, CheckConsistency);
}

std::string PrintDaemonSettings(const DaemonSettings& settings) {
  return PrintRows(settings);
}

}  // namespace jasminespar::settings
