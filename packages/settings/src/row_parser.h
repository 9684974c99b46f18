/// @file
/// Parses and prints settings as INI text according to their table. Private to
/// this package.

#ifndef JASMINESPAR_SETTINGS_SRC_ROW_PARSER_H_
#define JASMINESPAR_SETTINGS_SRC_ROW_PARSER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/core/switch.h"
#include "jasminespar/settings/ini.h"
#include "jasminespar/settings/settings_table.h"

namespace jasminespar::settings {

/// @param text a valid "host:port".
[[nodiscard]] configuration::Address ParseAddress(const std::string& text);

/// @return "host:port"; empty when there is no host.
[[nodiscard]] std::string FormatAddress(const configuration::Address& address);

/// Sets the field of a row.
/// @param text value that CheckText() accepted.
template <typename Settings>
void Assign(Settings& settings, const SettingRow<Settings>& row,
            const std::string& text) {
  const auto number = [&] {
    return configuration::ParseNumber(row.unit, text).value();
  };
  std::visit(
      Overloaded{
          [&](FieldOf<Settings, InstanceId> field) {
            field(settings).value = text;
          },
          [&](FieldOf<Settings, DataCentreId> field) {
            field(settings).value = text;
          },
          [&](FieldOf<Settings, std::string> field) { field(settings) = text; },
          [&](FieldOf<Settings, configuration::Address> field) {
            field(settings) = ParseAddress(text);
          },
          [&](FieldOf<Settings, Switch> field) {
            field(settings) = ParseName(kSwitchNames, text).value();
          },
          [&](FieldOf<Settings, std::uint16_t> field) {
            field(settings) = static_cast<std::uint16_t>(number());
          },
          [&](FieldOf<Settings, std::uint32_t> field) {
            field(settings) = static_cast<std::uint32_t>(number());
          },
          [&](FieldOf<Settings, Duration> field) {
            field(settings) = Duration(number());
          },
      },
      row.field);
}

/// @return the value of a row's field as text; the inverse of Assign().
template <typename Settings>
std::string TextOf(Settings& settings, const SettingRow<Settings>& row) {
  const auto format = [&](std::int64_t number) {
    return configuration::FormatNumber(row.unit, number);
  };
  return std::visit(
      Overloaded{
          [&](FieldOf<Settings, InstanceId> field) {
            return field(settings).value;
          },
          [&](FieldOf<Settings, DataCentreId> field) {
            return field(settings).value;
          },
          [&](FieldOf<Settings, std::string> field) { return field(settings); },
          [&](FieldOf<Settings, configuration::Address> field) {
            return FormatAddress(field(settings));
          },
          [&](FieldOf<Settings, Switch> field) {
            return std::string(RowOf(kSwitchNames, field(settings)).name);
          },
          [&](FieldOf<Settings, std::uint16_t> field) {
            return format(field(settings));
          },
          [&](FieldOf<Settings, std::uint32_t> field) {
            return format(field(settings));
          },
          [&](FieldOf<Settings, Duration> field) {
            return format(field(settings).count());
          },
      },
      row.field);
}

/// @return what is wrong with the text of a row's value; empty if it is valid.
template <typename Settings>
std::string_view CheckText(const SettingRow<Settings>& row,
                           std::string_view text) {
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

/// Parses one INI text: the constructor matches its entries to rows, Finish()
/// fills the settings. Every error is collected.
template <typename Settings>
class RowParser {
 public:
  RowParser(const std::string& text, const std::string& file) : file_(file) {
    const IniDocument document = ParseIni(text);
    for (const IniError& error : document.errors) {
      errors_.push_back({file_, error.line, "", "", error.message, ""});
    }
    for (const IniEntry& entry : document.entries) AddEntry(entry);
  }

  /// Fills the settings. Call once.
  /// @param derive sets fields that depend on other settings.
  /// @param check reports settings that contradict each other; called only if
  ///     no other error was found.
  /// @return the settings, or all errors, ordered by line.
  template <typename Derive, typename Check>
  std::variant<Settings, std::vector<SettingError>> Finish(Derive derive,
                                                           Check check) {
    for (const SettingRow<Settings>& row : SettingRows<Settings>()) {
      FillRow(row);
    }
    derive(settings_);
    if (errors_.empty()) check(settings_, *this);
    if (errors_.empty()) return std::move(settings_);
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const SettingError& a, const SettingError& b) {
                       return a.line < b.line;
                     });
    return std::move(errors_);
  }

  /// Adds an error of the setting with that section and key.
  void AddErrorAt(std::string_view section, std::string_view key,
                  const std::string& message) {
    for (const SettingRow<Settings>& row : SettingRows<Settings>()) {
      if (row.section != section || row.key != key) continue;
      const auto found = entries_.find(Key(section, key));
      const int line = found == entries_.end() ? 0 : found->second.line;
      AddError(row, line, message);
    }
  }

 private:
  using Key = std::pair<std::string_view, std::string_view>;

  /// Records the entry of a known key; adds an error if the key is unknown or
  /// repeated.
  void AddEntry(const IniEntry& entry) {
    const std::span<const SettingRow<Settings>> rows = SettingRows<Settings>();
    const auto row = std::find_if(rows.begin(), rows.end(),
                                  [&](const SettingRow<Settings>& candidate) {
                                    return candidate.section == entry.section &&
                                           candidate.key == entry.key;
                                  });
    if (row == rows.end()) {
      errors_.push_back(
          {file_, entry.line, entry.section, entry.key, "unknown key", ""});
      return;
    }
    const auto [found, first] =
        entries_.try_emplace(Key(row->section, row->key), entry);
    if (!first) {
      AddError(*row, entry.line,
               "already set in line " + std::to_string(found->second.line));
    }
  }

  /// Sets the field of a row from its entry or its default.
  void FillRow(const SettingRow<Settings>& row) {
    const auto found = entries_.find(Key(row.section, row.key));
    if (found == entries_.end()) {
      if (row.presence == Presence::kRequired) AddError(row, 0, "missing");
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
      AddError(row, entry.line, std::string(message) + ": " + entry.value);
    }
  }

  void AddError(const SettingRow<Settings>& row, int line,
                std::string message) {
    errors_.push_back({file_, line, std::string(row.section),
                       std::string(row.key), std::move(message),
                       DescribeAllowedValues(row.unit, row.range)});
  }

  std::string file_;
  Settings settings_{};
  std::map<Key, IniEntry> entries_;
  std::vector<SettingError> errors_;
};

/// @return INI text that parses to the same settings; empty values are left
/// out.
template <typename Settings>
std::string PrintRows(const Settings& settings) {
  Settings copy = settings;  // The accessors need a non-const object.
  std::string text;
  std::string_view section;
  for (const SettingRow<Settings>& row : SettingRows<Settings>()) {
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

#endif  // JASMINESPAR_SETTINGS_SRC_ROW_PARSER_H_
