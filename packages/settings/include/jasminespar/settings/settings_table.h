/// @file
/// The one table of the daemon's settings: parsing, printing and the page
/// docs/SETTINGS.md all follow it.

#ifndef JASMINESPAR_SETTINGS_SETTINGS_TABLE_H_
#define JASMINESPAR_SETTINGS_SETTINGS_TABLE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "jasminespar/configuration/value_text.h"
#include "jasminespar/settings/daemon_settings.h"

namespace jasminespar::settings {

/// Allowed numbers in the base unit (bytes, microseconds), ends included.
struct Range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

enum class Presence : std::uint8_t { kDefaulted, kRequired, kOptional };

/// Reaches the field that a row fills.
template <typename Value>
using FieldOf = Value& (*)(DaemonSettings&);
using Field = std::variant<FieldOf<InstanceId>, FieldOf<DataCentreId>,
                           FieldOf<std::string>, FieldOf<std::uint16_t>,
                           FieldOf<std::uint32_t>, FieldOf<Duration>>;

struct SettingRow {
  std::string_view section;
  std::string_view key;
  configuration::Unit unit;
  Presence presence;
  std::string_view default_text;  ///< Empty unless kDefaulted.
  Range range;                    ///< Of numeric units only.
  std::string_view help;
  Field field;
};

/// Rows of one section stand together.
[[nodiscard]] std::span<const SettingRow> SettingRows();

/// @return the allowed values of a row, for a person.
[[nodiscard]] std::string AllowedOf(const SettingRow& row);

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_SETTINGS_TABLE_H_
