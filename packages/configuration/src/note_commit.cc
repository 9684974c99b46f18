#include "jasminespar/configuration/note_commit.h"

#include <utility>

namespace jasminespar::configuration {

NoteCommit::NoteCommit(NoteId id, Revision base, int max_requests,
                       LostAnswerRule rule)
    : id_(std::move(id)),
      base_(base),
      requests_left_(max_requests),
      rule_(rule) {}

NoteStep NoteCommit::Start() { return NextRequest(WriteNote{base_}); }

NoteStep NoteCommit::OnWrite(WriteResult result) {
  switch (result) {
    case WriteResult::kCommitted:
      return NoteAccepted{ReadOwnRevision().revision};
    case WriteResult::kConditionFailed:
      // This note may itself be the newest revision: an earlier write, by this
      // request or an earlier submission, may have lost its reply.
      may_be_in_force_ = true;
      return NextRequest(ReadOwnRevision());
    case WriteResult::kNotDone:
      return NextRequest(WriteNote{base_});
    case WriteResult::kUnknown:
      break;
  }
  may_be_in_force_ = true;
  if (rule_ == LostAnswerRule::kRetryWrite) {
    ++base_.value;
    return NextRequest(WriteNote{base_});
  }
  return NextRequest(ReadOwnRevision());
}

NoteStep NoteCommit::OnRead(const std::optional<ReadBackResult>& read) {
  if (!read) return NextRequest(ReadOwnRevision());
  if (read->newest < base_) {
    // The note's base does not exist yet.
    return NoteConflict{};
  }
  if (read->newest == base_) return NextRequest(WriteNote{base_});
  if (!read->note) return NoteUnresolved{Verdict::kMayHaveRun};
  if (*read->note == id_) return NoteAccepted{ReadOwnRevision().revision};
  return NoteConflict{*read->note};
}

NoteStep NoteCommit::NextRequest(NoteStep step) {
  if (requests_left_ == 0) {
    return NoteUnresolved{may_be_in_force_ ? Verdict::kMayHaveRun
                                           : Verdict::kNotRun};
  }
  --requests_left_;
  return step;
}

ReadBack NoteCommit::ReadOwnRevision() const {
  return ReadBack{Revision{base_.value + 1}};
}

}  // namespace jasminespar::configuration
