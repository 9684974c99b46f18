/// @file
/// Tables of settings, one for each kind of instance. Parsing, printing and the
/// page docs/SETTINGS.md are driven by them.

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

/// Allowed numbers, both ends included, in the base unit of the setting (bytes
/// or microseconds).
struct Range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Whether a key must be present, and what an absent one means: the default, a
/// error, or the field's initial value.
enum class Presence : std::uint8_t { kDefaulted, kRequired, kOptional };

/// Returns the field of the settings that a row describes.
template <typename Settings, typename Value>
using FieldOf = Value& (*)(Settings&);

/// The accessor of a row's field, by the type of the field.
template <typename Settings>
using Field =
    std::variant<FieldOf<Settings, InstanceId>, FieldOf<Settings, DataCentreId>,
                 FieldOf<Settings, std::string>,
                 FieldOf<Settings, configuration::Address>,
                 FieldOf<Settings, Switch>, FieldOf<Settings, std::uint16_t>,
                 FieldOf<Settings, std::uint32_t>, FieldOf<Settings, Duration>>;

/// One key of the INI file.
template <typename Settings>
struct SettingRow {
  std::string_view section;
  std::string_view key;
  configuration::Unit unit;
  Presence presence;
  std::string_view default_text;  ///< Empty unless kDefaulted.
  Range range;                    ///< Used for numeric units only.
  std::string_view help;          ///< Shown in docs/SETTINGS.md.
  Field<Settings> field;
};

/// @return the table of one kind of settings; the rows of a section are
///     adjacent.
template <typename Settings>
[[nodiscard]] std::span<const SettingRow<Settings>> SettingRows();

template <>
[[nodiscard]] std::span<const SettingRow<DaemonSettings>> SettingRows();
template <>
[[nodiscard]] std::span<const SettingRow<JobServerSettings>> SettingRows();

/// @return a human-readable description of the allowed values, such as "1 to
///     65535".
[[nodiscard]] std::string DescribeAllowedValues(configuration::Unit unit,
                                                Range range);

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_SETTINGS_TABLE_H_
