/// @file
/// Tables that pair each value of an `enum class` with its name.

#ifndef JASMINESPAR_CORE_NAME_TABLE_H_
#define JASMINESPAR_CORE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jasminespar {

/// Row of a table of names.
template <typename Enum>
struct NamedValue {
  Enum value;
  std::string_view name;  ///< Stable: used in JSON, metrics, logs and settings.
  std::string_view help;  ///< One-sentence description.
};

template <typename Enum, std::size_t kSize>
using NameTable = std::array<NamedValue<Enum>, kSize>;

/// @return whether row i holds the enumerator with value i, for every i. Each
///     table asserts this at compile time, because `RowOf` indexes it.
template <typename Row, std::size_t kSize>
[[nodiscard]] constexpr bool IsDense(const std::array<Row, kSize>& table) {
  for (std::size_t i = 0; i < kSize; ++i) {
    if (static_cast<std::size_t>(table[i].value) != i) return false;
  }
  return true;
}

/// @param table a dense table.
/// @return the row of `value`.
template <typename Row, std::size_t kSize, typename Enum>
[[nodiscard]] constexpr const Row& RowOf(const std::array<Row, kSize>& table,
                                         Enum value) {
  return table[static_cast<std::size_t>(value)];
}

/// @return the enumerator with that name, or nothing.
template <typename Row, std::size_t kSize>
[[nodiscard]] constexpr auto ParseName(const std::array<Row, kSize>& table,
                                       std::string_view name)
    -> std::optional<decltype(Row::value)> {
  for (const Row& row : table) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_NAME_TABLE_H_
