/// @file
/// INI text as a list of entries that keep their line numbers.

#ifndef JASMINESPAR_SETTINGS_INI_H_
#define JASMINESPAR_SETTINGS_INI_H_

#include <cstddef>
#include <string>
#include <vector>

namespace jasminespar::settings {

/// Longest line that the INI library takes; bytes.
inline constexpr std::size_t kMaxIniLineBytes = 190;

struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;  ///< From 1.
  auto operator<=>(const IniEntry&) const = default;
};

/// Header of a section, also of one without entries.
struct IniSection {
  std::string name;
  int line = 0;
  auto operator<=>(const IniSection&) const = default;
};

/// A line that is neither a section, an entry, a comment nor empty.
struct IniFault {
  int line = 0;
  std::string message;
  auto operator<=>(const IniFault&) const = default;
};

/// Each list in the order of the text; repetitions are all kept.
struct IniDocument {
  std::vector<IniSection> sections;
  std::vector<IniEntry> entries;
  std::vector<IniFault> faults;
};

/// Comments start with ';' or '#'. Leading space means nothing: a value never
/// continues on the next line.
[[nodiscard]] IniDocument ParseIni(const std::string& text);

}  // namespace jasminespar::settings

#endif  // JASMINESPAR_SETTINGS_INI_H_
