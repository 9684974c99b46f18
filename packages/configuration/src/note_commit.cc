#include "jasminespar/configuration/note_commit.h"

#include <utility>

namespace jasminespar::configuration {

NoteCommit::NoteCommit(NoteId id, Revision base, int max_requests,
                       LostAnswerRule rule)
    : id_(std::move(id)),
      base_(base),
      requests_left_(max_requests),
      rule_(rule) {}

NoteStep NoteCommit::Start() { return Ask(WriteNote{base_}); }

NoteStep NoteCommit::OnWrite(WriteResult result) {
  switch (result) {
    case WriteResult::kCommitted:
      return NoteAccepted{OwnRevision().revision};
    case WriteResult::kConditionFailed:
      // Perhaps it failed on this very note: an earlier write whose answer was
      // lost, here or when the sender sent the note before.
      may_be_in_force_ = true;
      return Ask(OwnRevision());
    case WriteResult::kNotDone:
      return Ask(WriteNote{base_});
    case WriteResult::kUnknown:
      break;
  }
  may_be_in_force_ = true;
  if (rule_ == LostAnswerRule::kWriteAgain) {
    ++base_.value;
    return Ask(WriteNote{base_});
  }
  return Ask(OwnRevision());
}

NoteStep NoteCommit::OnRead(const std::optional<ReadBackResult>& read) {
  if (!read) return Ask(OwnRevision());
  if (read->newest < base_) {
    // The note stands on a revision that does not exist.
    return NoteConflict{};
  }
  if (read->newest == base_) return Ask(WriteNote{base_});
  if (!read->note) return NoteUnresolved{Verdict::kMayHaveRun};
  if (*read->note == id_) return NoteAccepted{OwnRevision().revision};
  return NoteConflict{*read->note};
}

NoteStep NoteCommit::Ask(NoteStep step) {
  if (requests_left_ == 0) {
    return NoteUnresolved{may_be_in_force_ ? Verdict::kMayHaveRun
                                           : Verdict::kNotRun};
  }
  --requests_left_;
  return step;
}

ReadBack NoteCommit::OwnRevision() const {
  return ReadBack{Revision{base_.value + 1}};
}

}  // namespace jasminespar::configuration
