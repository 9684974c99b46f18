/// @file
/// Rows and objects of the platform that hold the configuration.

#ifndef JASMINESPAR_DAEMON_NOTE_ROWS_H_
#define JASMINESPAR_DAEMON_NOTE_ROWS_H_

#include <cstdint>
#include <string>

#include "jasminespar/configuration/release_note.h"

namespace jasminespar::daemon {

inline constexpr char kHeadKey[] = "configuration/head";

/// Rows of the ring of notes; also how many texts are kept for peers.
inline constexpr std::uint64_t kNoteSlots = 1024;

/// A whole configuration is stored so often; at most kNoteSlots / 2.
inline constexpr std::uint64_t kSnapshotIntervalRevisions = 256;
static_assert(kSnapshotIntervalRevisions <= kNoteSlots / 2);

/// @return the row that holds the note of that revision, until kNoteSlots
///     later ones have come.
[[nodiscard]] std::string NoteKey(std::uint64_t revision);

/// Racing notes compile to different configurations of one revision, so the
/// key names the note as well.
[[nodiscard]] std::string SnapshotKey(std::uint64_t revision,
                                      const configuration::NoteId& note);

/// @return the value of a row: which revision it holds now, and its note.
[[nodiscard]] std::string EncodeNoteRow(std::uint64_t revision,
                                        const configuration::ReleaseNote& note);

/// @throws Error kStoreUnavailable when the row does not hold that revision.
[[nodiscard]] configuration::ReleaseNote DecodeNoteRow(const std::string& row,
                                                       std::uint64_t revision);

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_NOTE_ROWS_H_
