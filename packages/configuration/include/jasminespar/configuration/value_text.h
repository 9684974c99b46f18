/// @file
/// Parses and formats values with units, as operators write them in INI files.

#ifndef JASMINESPAR_CONFIGURATION_VALUE_TEXT_H_
#define JASMINESPAR_CONFIGURATION_VALUE_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/switch.h"

namespace jasminespar::configuration {

enum class Unit : std::uint8_t {
  kName,
  kHost,
  kPath,
  kAddress,
  kSwitch,
  kPort,
  kCount,
  kBytes,
  kDuration,
};

inline constexpr NameTable<Unit, 9> kUnitNames{{
    {Unit::kName, "name", "1 to 64 letters, digits, '.', '_' or '-'."},
    {Unit::kHost, "IP number", "IPv4, such as 127.0.0.1."},
    {Unit::kPath, "path", "A folder that exists."},
    {Unit::kAddress, "address", "IPv4 and port, such as 127.0.0.1:8001."},
    {Unit::kSwitch, "switch", "on or off."},
    {Unit::kPort, "port", "TCP and UDP port."},
    {Unit::kCount, "count", "A whole number."},
    {Unit::kBytes, "bytes", "A whole number, with B, KiB or MiB."},
    {Unit::kDuration, "duration", "A number with us, ms, s, min or h."},
}};
static_assert(IsDense(kUnitNames));

[[nodiscard]] constexpr bool IsNumeric(Unit unit) noexcept {
  return unit >= Unit::kPort;
}

/// @param text for example "12", "256KiB" or "200ms".
/// @return the number in the base unit (bytes, microseconds), or nothing if the
///     text is not a value of that unit.
[[nodiscard]] std::optional<std::int64_t> ParseNumber(Unit unit,
                                                      std::string_view text);

/// @param number in the base unit (bytes, microseconds).
/// @return the shortest text that parses to the same number.
[[nodiscard]] std::string FormatNumber(Unit unit, std::int64_t number);

/// @return whether the text is a valid identifier, for example of an instance
///     or a client account.
[[nodiscard]] bool IsValidName(std::string_view text);

/// @return whether the text is valid for a non-numeric unit. For kPath: whether
///     it is not empty.
[[nodiscard]] bool IsValidText(Unit unit, std::string_view text);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_VALUE_TEXT_H_
