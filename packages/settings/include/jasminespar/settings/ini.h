/// @file
/// Parses INI text into sections and entries with their line numbers.

#ifndef JASMINESPAR_SETTINGS_INI_H_
#define JASMINESPAR_SETTINGS_INI_H_

#include <cstddef>
#include <string>
#include <vector>

namespace jasminespar::settings {

/// Longest line that the INI library accepts, without the line break.
inline constexpr std::size_t kMaxIniLineBytes = 190;

struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;  ///< From 1.
  auto operator<=>(const IniEntry&) const = default;
};

/// A section header; sections without entries are listed too.
struct IniSection {
  std::string name;
  int line = 0;  ///< From 1.
  auto operator<=>(const IniSection&) const = default;
};

/// A malformed line: not a section header, an entry, a comment or empty, or too
/// long, or with a zero byte.
struct IniError {
  int line = 0;  ///< From 1.
  std::string message;
  auto operator<=>(const IniError&) const = default;
};

/// Contents of an INI file. Each list is in file order and keeps duplicates.
struct IniDocument {
  std::vector<IniSection> sections;
  std::vector<IniEntry> entries;
  std::vector<IniError> errors;
};

/// Parses INI text. Comments start with ';' or '#'. Leading spaces and tabs of
/// a line are ignored, so a value never continues on the next line.
[[nodiscard]] IniDocument ParseIni(const std::string& text);

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_INI_H_
