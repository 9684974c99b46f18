/// @file
/// Aligned columns for people.

#ifndef JASMINESPAR_CONTROL_TEXT_TABLE_H_
#define JASMINESPAR_CONTROL_TEXT_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace jasminespar::control {

using TextRow = std::vector<std::string>;

/// @param rows each as long as `head`.
/// @return one line for the head and each row; control characters are shown
///     as '?', so that a value cannot act on the terminal.
[[nodiscard]] std::string FormatTable(const TextRow& head,
                                      const std::vector<TextRow>& rows);

/// Makes a table of the first array of objects in a JSON object.
/// @return the table, or the text itself when it holds no such array.
[[nodiscard]] std::string TableOfJson(std::string_view text);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_TEXT_TABLE_H_
