/// @file
/// Parser for release note files: INI with one section per item.

#ifndef JASMINESPAR_CONTROL_NOTE_FILE_H_
#define JASMINESPAR_CONTROL_NOTE_FILE_H_

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminespar/configuration/compile.h"
#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"
#include "jasminespar/settings/daemon_settings.h"

namespace jasminespar::control {

/// A parsed note with the line numbers of its sections and keys.
struct NoteFile {
  std::string file;
  configuration::ReleaseNote note;
  /// Line of {section, key}; the key is empty for the section itself.
  std::map<std::pair<std::string, std::string>, int> lines;
};

/// Parses a note file; docs/RELEASE-NOTES.md describes the format. A changed
/// item keeps the values of `base` that the file does not set. If the file sets
/// no id, it is derived from the text and the base, so that the same file on
/// the same base gives the same note.
/// @param file_name used in errors only.
/// @param base the configuration in force. Its revision is the note's base; a
///     base set in the file must be equal.
/// @return the note, or all errors, ordered by line.
[[nodiscard]] std::variant<NoteFile, std::vector<settings::SettingError>>
ParseNoteFile(const std::string& text, const std::string& file_name,
              const configuration::Configuration& base);

/// @return the error with its file and line; line 0 if the file has no matching
///     section.
[[nodiscard]] settings::SettingError Locate(
    const NoteFile& file, const configuration::NoteError& error);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_NOTE_FILE_H_
