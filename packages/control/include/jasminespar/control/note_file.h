/// @file
/// Release notes as operators write them: INI, one section for each item.

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

/// A note with the lines of its sections and keys.
struct NoteFile {
  std::string file;
  configuration::ReleaseNote note;
  /// Line of {section, key}; the key is empty for the section itself.
  std::map<std::pair<std::string, std::string>, int> lines;
};

/// docs/RELEASE-NOTES.md describes the form. A changed item keeps the values
/// of `base` that the file does not name. Without an id the note gets one from
/// its text and base, so that the same file on the same base is the same note.
/// @param file_name used in faults only.
/// @param base the configuration in force; its revision is the note's base
///     unless the file names one.
/// @return the note, or every fault at once, ordered by line.
[[nodiscard]] std::variant<NoteFile, std::vector<settings::SettingFault>>
ParseNoteFile(const std::string& text, const std::string& file_name,
              const configuration::Configuration& base);

/// @return the fault with the file and line it belongs to.
[[nodiscard]] settings::SettingFault Locate(
    const NoteFile& file, const configuration::NoteFault& fault);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_NOTE_FILE_H_
