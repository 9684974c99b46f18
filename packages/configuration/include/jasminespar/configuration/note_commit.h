/// @file
/// State machine that commits one note as the next revision, at most once,
/// although replies of the store may be lost. It does no I/O: the caller
/// performs the steps that it returns.

#ifndef JASMINESPAR_CONFIGURATION_NOTE_COMMIT_H_
#define JASMINESPAR_CONFIGURATION_NOTE_COMMIT_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "jasminespar/configuration/release_note.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/verdict.h"

namespace jasminespar::configuration {

/// Write the note as revision base + 1 if `base` is still the newest revision.
struct WriteNote {
  Revision base;
  auto operator<=>(const WriteNote&) const = default;
};

/// Read the newest revision and the id of the note that became `revision`, from
/// one consistent snapshot.
struct ReadBack {
  Revision revision;
  auto operator<=>(const ReadBack&) const = default;
};

struct NoteAccepted {
  Revision revision;
  auto operator<=>(const NoteAccepted&) const = default;
};

/// Another note became revision base + 1; this one was not applied. `winner` is
/// empty if `base` is above the newest revision.
struct NoteConflict {
  NoteId winner;
  auto operator<=>(const NoteConflict&) const = default;
};

/// The outcome is still open after `max_requests`, or the note's revision was
/// compacted away. kNotRun: this request did not apply the note. kMayHaveRun:
/// it may have; submit the note again with the same id to find out.
struct NoteUnresolved {
  Verdict verdict = Verdict::kNotRun;
  auto operator<=>(const NoteUnresolved&) const = default;
};

using NoteStep = std::variant<WriteNote, ReadBack, NoteAccepted, NoteConflict,
                              NoteUnresolved>;

/// Result of a conditional write.
enum class WriteResult : std::uint8_t {
  kCommitted,
  kConditionFailed,
  kNotDone,
  kUnknown,
};

inline constexpr NameTable<WriteResult, 4> kWriteResultNames{{
    {WriteResult::kCommitted, "committed",
     "The store reported that the write is done."},
    {WriteResult::kConditionFailed, "condition_failed",
     "The store reported that the condition did not hold."},
    {WriteResult::kNotDone, "not_done",
     "The store reported that nothing is done."},
    {WriteResult::kUnknown, "unknown", "The store sent no answer."},
}};
static_assert(IsDense(kWriteResultNames));

/// Result of a ReadBack step.
struct ReadBackResult {
  Revision newest;
  std::optional<NoteId> note;  ///< Empty if not written or compacted away.
};

/// How a write without a reply is resolved. kRetryWrite is incorrect and exists
/// for mutation tests only.
enum class LostAnswerRule : std::uint8_t { kReadBack, kRetryWrite };

/// Commits one note. Every write of the note has the same condition, so a
/// delayed write and its retry cannot both take effect. Not thread-safe.
class NoteCommit {
 public:
  /// @param base the revision that the note changes.
  /// @param max_requests limit on requests to the store, after which the result
  ///     is NoteUnresolved.
  NoteCommit(NoteId id, Revision base, int max_requests,
             LostAnswerRule rule = LostAnswerRule::kReadBack);

  /// @return the first step.
  [[nodiscard]] NoteStep Start();

  /// Handles the result of a WriteNote step.
  /// @return the next step.
  [[nodiscard]] NoteStep OnWrite(WriteResult result);

  /// Handles the result of a ReadBack step.
  /// @param read empty if the store did not reply.
  /// @return the next step.
  [[nodiscard]] NoteStep OnRead(const std::optional<ReadBackResult>& read);

 private:
  /// @return `step`, or NoteUnresolved if no requests are left.
  NoteStep NextRequest(NoteStep step);
  /// @return the step that reads the revision that this note would become.
  [[nodiscard]] ReadBack ReadOwnRevision() const;

  NoteId id_;
  Revision base_;
  int requests_left_;
  LostAnswerRule rule_;
  bool may_be_in_force_ = false;
};

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_NOTE_COMMIT_H_
