/// @file
/// Formats tables with aligned columns for terminal output.

#ifndef JASMINESPAR_CONTROL_TEXT_TABLE_H_
#define JASMINESPAR_CONTROL_TEXT_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace jasminespar::control {

using TextRow = std::vector<std::string>;

/// @param rows each with as many cells as `header`.
/// @return one line for the header and one per row. Control characters are
///     replaced by '?', so that values cannot send terminal escape sequences.
[[nodiscard]] std::string FormatTable(const TextRow& header,
                                      const std::vector<TextRow>& rows);

/// Formats the first non-empty array of objects in a JSON object as a table.
/// @return the table, or `text` with a newline if it has no such array.
[[nodiscard]] std::string TableOfJson(std::string_view text);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_TEXT_TABLE_H_
