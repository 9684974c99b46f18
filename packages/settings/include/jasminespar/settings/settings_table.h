/// @file
/// Tables of settings, one a kind of process: parsing, printing and the page
/// docs/SETTINGS.md all follow them.

#ifndef JASMINESPAR_SETTINGS_SETTINGS_TABLE_H_
#define JASMINESPAR_SETTINGS_SETTINGS_TABLE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "jasminespar/configuration/value_text.h"
#include "jasminespar/settings/daemon_settings.h"
#include "jasminespar/settings/job_server_settings.h"

namespace jasminespar::settings {

/// Allowed numbers in the base unit (bytes, microseconds), ends included.
struct Range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

enum class Presence : std::uint8_t { kDefaulted, kRequired, kOptional };

/// Reaches the field that a row fills.
template <typename Settings, typename Value>
using FieldOf = Value& (*)(Settings&);
template <typename Settings>
using Field =
    std::variant<FieldOf<Settings, InstanceId>, FieldOf<Settings, DataCentreId>,
                 FieldOf<Settings, std::string>,
                 FieldOf<Settings, configuration::Address>,
                 FieldOf<Settings, std::uint16_t>,
                 FieldOf<Settings, std::uint32_t>, FieldOf<Settings, Duration>>;

template <typename Settings>
struct SettingRow {
  std::string_view section;
  std::string_view key;
  configuration::Unit unit;
  Presence presence;
  std::string_view default_text;  ///< Empty unless kDefaulted.
  Range range;                    ///< Of numeric units only.
  std::string_view help;
  Field<Settings> field;
};

/// The rows of one kind of settings; those of one section stand together.
template <typename Settings>
[[nodiscard]] std::span<const SettingRow<Settings>> SettingRows();

template <>
[[nodiscard]] std::span<const SettingRow<DaemonSettings>> SettingRows();
template <>
[[nodiscard]] std::span<const SettingRow<JobServerSettings>> SettingRows();

/// @return the allowed values of a unit and range, for a person.
[[nodiscard]] std::string AllowedOf(configuration::Unit unit, Range range);

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_SETTINGS_TABLE_H_
