/// @file
/// Makes one note the next revision, at most once, through a store whose
/// answers may be lost. Pure: the caller performs the steps.

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

/// Write the note as revision base + 1 on condition that `base` is the newest.
struct WriteNote {
  Revision base;
  auto operator<=>(const WriteNote&) const = default;
};

/// Read the newest revision and the id of the note that became `revision`, in
/// one consistent view.
struct ReadBack {
  Revision revision;
  auto operator<=>(const ReadBack&) const = default;
};

struct NoteAccepted {
  Revision revision;
  auto operator<=>(const NoteAccepted&) const = default;
};

/// Another note is revision base + 1; this one is not in force.
struct NoteConflict {
  NoteId winner;
  auto operator<=>(const NoteConflict&) const = default;
};

/// The store did not answer often enough. kNotRun: this request did nothing.
/// kMayHaveRun: send the same note with the same id again to learn more.
struct NoteUnresolved {
  Verdict verdict = Verdict::kNotRun;
  auto operator<=>(const NoteUnresolved&) const = default;
};

using NoteStep = std::variant<WriteNote, ReadBack, NoteAccepted, NoteConflict,
                              NoteUnresolved>;

/// What became of a conditional write.
enum class WriteResult : std::uint8_t {
  kCommitted,
  kConditionFailed,
  kNotDone,
  kUnknown,
};

inline constexpr NameTable<WriteResult, 4> kWriteResultNames{{
    {WriteResult::kCommitted, "committed", "The store said that it is done."},
    {WriteResult::kConditionFailed, "condition_failed",
     "The store said that the condition did not hold."},
    {WriteResult::kNotDone, "not_done", "The store said that nothing is done."},
    {WriteResult::kUnknown, "unknown", "No answer came."},
}};
static_assert(IsDense(kWriteResultNames));

/// What a read back found; nothing stands for a read without an answer.
struct ReadBackResult {
  Revision newest;
  std::optional<NoteId> note;  ///< Empty: not written, or compacted away.
};

/// How a write without an answer is resolved. kWriteAgain is for tests that
/// show why it must not be done.
enum class LostAnswerRule : std::uint8_t { kReadBack, kWriteAgain };

/// The same condition guards every write of one note, so that a late write
/// and a repeated one cannot both take effect.
class NoteCommit {
 public:
  /// @param max_requests to the store before the outcome is left unresolved.
  NoteCommit(NoteId id, Revision base, int max_requests,
             LostAnswerRule rule = LostAnswerRule::kReadBack);

  /// @return the first step.
  [[nodiscard]] NoteStep Start();

  /// @return the step after a WriteNote.
  [[nodiscard]] NoteStep OnWrite(WriteResult result);

  /// @return the step after a ReadBack.
  [[nodiscard]] NoteStep OnRead(const std::optional<ReadBackResult>& read);

 private:
  NoteStep Ask(NoteStep step);
  [[nodiscard]] ReadBack OwnRevision() const;

  NoteId id_;
  Revision base_;
  int requests_left_;
  LostAnswerRule rule_;
  bool may_be_in_force_ = false;
};

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_NOTE_COMMIT_H_
