#include "jasminespar/settings/daemon_settings.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/settings/ini.h"
#include "jasminespar/settings/settings_table.h"

namespace jasminespar::settings {

namespace {

/// Stores a text or number that was checked against its row.
void Assign(DaemonSettings& settings, const SettingRow& row,
            const std::string& text) {
  const auto number = [&] {
    return configuration::ParseNumber(row.unit, text).value();
  };
  std::visit(
      Overloaded{
          [&](FieldOf<InstanceId> field) { field(settings).value = text; },
          [&](FieldOf<DataCentreId> field) { field(settings).value = text; },
          [&](FieldOf<std::string> field) { field(settings) = text; },
          [&](FieldOf<std::uint16_t> field) {
            field(settings) = static_cast<std::uint16_t>(number());
          },
          [&](FieldOf<std::uint32_t> field) {
            field(settings) = static_cast<std::uint32_t>(number());
          },
          [&](FieldOf<Duration> field) {
            field(settings) = Duration(number());
          },
      },
      row.field);
}

/// The inverse of Assign.
std::string TextOf(DaemonSettings& settings, const SettingRow& row) {
  const auto format = [&](std::int64_t number) {
    return configuration::FormatNumber(row.unit, number);
  };
  return std::visit(
      Overloaded{
          [&](FieldOf<InstanceId> field) { return field(settings).value; },
          [&](FieldOf<DataCentreId> field) { return field(settings).value; },
          [&](FieldOf<std::string> field) { return field(settings); },
          [&](FieldOf<std::uint16_t> field) { return format(field(settings)); },
          [&](FieldOf<std::uint32_t> field) { return format(field(settings)); },
          [&](FieldOf<Duration> field) {
            return format(field(settings).count());
          },
      },
      row.field);
}

/// @return what is wrong with the text of a row, or empty.
std::string_view CheckText(const SettingRow& row, std::string_view text) {
  if (!configuration::IsNumeric(row.unit)) {
    return configuration::IsValidText(row.unit, text) ? ""
                                                      : "not a valid value";
  }
  const std::optional<std::int64_t> number =
      configuration::ParseNumber(row.unit, text);
  if (!number) return "not a number of this unit";
  const bool inside = row.range.min <= *number && *number <= row.range.max;
  return inside ? "" : "out of range";
}

/// Collects what one text says, row by row.
class Parser {
 public:
  Parser(const std::string& text, const std::string& file) : file_(file) {
    const IniDocument document = ParseIni(text);
    for (const IniFault& fault : document.faults) {
      faults_.push_back({file_, fault.line, "", "", fault.message, ""});
    }
    for (const IniEntry& entry : document.entries) TakeEntry(entry);
  }

  std::variant<DaemonSettings, std::vector<SettingFault>> Finish() {
    for (const SettingRow& row : SettingRows()) FillRow(row);
    FillAdvertisedAddress();
    if (faults_.empty()) CheckTogether();
    if (faults_.empty()) return std::move(settings_);
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](const SettingFault& a, const SettingFault& b) {
                       return a.line < b.line;
                     });
    return std::move(faults_);
  }

 private:
  using Key = std::pair<std::string_view, std::string_view>;

  void TakeEntry(const IniEntry& entry) {
    const std::span<const SettingRow> rows = SettingRows();
    const auto row = std::find_if(rows.begin(), rows.end(),
                                  [&](const SettingRow& candidate) {
                                    return candidate.section == entry.section &&
                                           candidate.key == entry.key;
                                  });
    if (row == rows.end()) {
      faults_.push_back(
          {file_, entry.line, entry.section, entry.key, "unknown key", ""});
      return;
    }
    const auto [found, first] =
        entries_.try_emplace(Key(row->section, row->key), entry);
    if (!first) {
      AddFault(*row, entry.line,
               "already set in line " + std::to_string(found->second.line));
    }
  }

  void FillRow(const SettingRow& row) {
    const auto found = entries_.find(Key(row.section, row.key));
    if (found == entries_.end()) {
      if (row.presence == Presence::kRequired) AddFault(row, 0, "missing");
      if (row.presence == Presence::kDefaulted) {
        Assign(settings_, row, std::string(row.default_text));
      }
      return;
    }
    const IniEntry& entry = found->second;
    const std::string_view message = CheckText(row, entry.value);
    if (message.empty()) {
      Assign(settings_, row, entry.value);
    } else {
      AddFault(row, entry.line, std::string(message) + ": " + entry.value);
    }
  }

  void FillAdvertisedAddress() {
    configuration::Address& advertised = settings_.advertised_peer_address;
    if (advertised.host.empty()) advertised.host = settings_.peer_address.host;
    if (advertised.port == 0) advertised.port = settings_.peer_address.port;
  }

  /// Settings that are each in range but contradict each other.
  void CheckTogether() {
    if (settings_.suspect_after < 2 * settings_.heartbeat_interval) {
      AddFaultAt("peers", "suspect_after",
                 "under twice heartbeat_interval: one lost datagram would "
                 "make a peer suspected");
    }
    if (settings_.cell.hold >= settings_.cell.worker_lease) {
      AddFaultAt("cells", "hold", "not under worker_lease");
    }
    if (settings_.report_wait >= settings_.cell.worker_lease) {
      AddFaultAt("workers", "report_wait", "not under [cells] worker_lease");
    }
  }

  void AddFaultAt(std::string_view section, std::string_view key,
                  const std::string& message) {
    for (const SettingRow& row : SettingRows()) {
      if (row.section != section || row.key != key) continue;
      const auto found = entries_.find(Key(section, key));
      const int line = found == entries_.end() ? 0 : found->second.line;
      AddFault(row, line, message);
    }
  }

  void AddFault(const SettingRow& row, int line, std::string message) {
    faults_.push_back({file_, line, std::string(row.section),
                       std::string(row.key), std::move(message),
                       AllowedOf(row)});
  }

  std::string file_;
  DaemonSettings settings_;
  std::map<Key, IniEntry> entries_;
  std::vector<SettingFault> faults_;
};

}  // namespace

std::string ToString(const SettingFault& fault) {
  std::string text = fault.file;
  if (fault.line > 0) text += ":" + std::to_string(fault.line);
  text += ": ";
  if (!fault.section.empty()) text += "[" + fault.section + "] ";
  if (!fault.key.empty()) text += fault.key + ": ";
  text += fault.message;
  if (!fault.allowed.empty()) text += "; allowed: " + fault.allowed;
  return text;
}

std::variant<DaemonSettings, std::vector<SettingFault>> ParseDaemonSettings(
    const std::string& text, const std::string& file_name) {
  return Parser(text, file_name).Finish();
}

std::string PrintDaemonSettings(const DaemonSettings& settings) {
  DaemonSettings copy = settings;  // The rows reach fields for writing.
  std::string text;
  std::string_view section;
  for (const SettingRow& row : SettingRows()) {
    if (row.section != section) {
      if (!text.empty()) text += '\n';
      text += "[" + std::string(row.section) + "]\n";
      section = row.section;
    }
    const std::string value = TextOf(copy, row);
    if (value.empty()) continue;
    text += std::string(row.key) + " = " + value + "\n";
  }
  return text;
}

}  // namespace jasminespar::settings
