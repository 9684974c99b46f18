#include "note_rows.h"

#include <cstdio>
#include <utility>
#include <variant>

#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/core/digest.h"
#include "jasminespar/core/error.h"

namespace jasminespar::daemon {

using configuration::ReleaseNote;

std::string NoteKey(std::uint64_t revision) {
  char text[16];
  std::snprintf(text, sizeof text, "note/%04u",
                static_cast<unsigned>(revision % kNoteSlots));
  return text;
}

std::string SnapshotKey(std::uint64_t revision,
                        const configuration::NoteId& note) {
  return "configuration/" + std::to_string(revision) + "-" +
         std::to_string(DigestOf(note.value).value);
}

std::string EncodeNoteRow(std::uint64_t revision, const ReleaseNote& note) {
  return std::to_string(revision) + "\n" + codec::EncodeNote(note);
}

ReleaseNote DecodeNoteRow(const std::string& row, std::uint64_t revision) {
  const std::size_t end = row.find('\n');
  if (row.substr(0, end) == std::to_string(revision)) {
    // A newer instance may have written members that this one does not know.
    auto parsed =
        codec::ParseNote(row.substr(end + 1), codec::UnknownMembers::kIgnore);
    if (auto* note = std::get_if<ReleaseNote>(&parsed)) return std::move(*note);
  }
  throw Error(Reason::kStoreUnavailable, Verdict::kNotRun,
              "no row holds the note of revision " + std::to_string(revision));
}

}  // namespace jasminespar::daemon
