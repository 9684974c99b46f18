/// @file
/// Keys and encoding of the rows and objects that hold the configuration.

#ifndef JASMINESPAR_DAEMON_NOTE_ROWS_H_
#define JASMINESPAR_DAEMON_NOTE_ROWS_H_

#include <cstdint>
#include <string>

#include "jasminespar/configuration/release_note.h"

namespace jasminespar::daemon {

inline constexpr char kHeadKey[] = "configuration/head";

/// Rows in the ring of notes; also the number of notes kept for peers.
inline constexpr std::uint64_t kNoteSlots = 1024;

/// Revisions between two stored snapshots of the configuration.
inline constexpr std::uint64_t kSnapshotIntervalRevisions = 256;
static_assert(kSnapshotIntervalRevisions <= kNoteSlots / 2);

/// @return key of the row that holds the note of that revision, until
///     kNoteSlots later revisions exist.
[[nodiscard]] std::string NoteKey(std::uint64_t revision);

/// Concurrent notes compile to different configurations of one revision, so
/// the key depends on the note too.
[[nodiscard]] std::string SnapshotKey(std::uint64_t revision,
                                      const configuration::NoteId& note);

/// @return the value of a row: the revision and its note.
[[nodiscard]] std::string EncodeNoteRow(std::uint64_t revision,
                                        const configuration::ReleaseNote& note);

/// @throws Error kStoreUnavailable when the row does not hold that revision.
[[nodiscard]] configuration::ReleaseNote DecodeNoteRow(const std::string& row,
                                                       std::uint64_t revision);

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_NOTE_ROWS_H_
