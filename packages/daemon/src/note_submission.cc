/// @file
/// Processing of submitted release notes by the configuration store: one at a
/// time, each committed by one conditional write or refused.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "jasminespar/codec/call_json.h"
#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/codec/problem_json.h"
#include "jasminespar/configuration/compile.h"
#include "jasminespar/configuration/conflict.h"
#include "jasminespar/core/error.h"
#include "jasminespar/daemon/configuration_store.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/telemetry/events.h"
#include "note_rows.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;
using configuration::ReleaseNote;
using Json = nlohmann::json;

namespace {

/// Requests to the store before a note's outcome is reported as unresolved.
constexpr int kMaxCommitRequests = 12;
constexpr Duration kRetryDelay = 200ms;

NoteResponse Accepted(Revision revision) {
  NoteResponse answer;
  answer.json = codec::EncodeRevision(revision);
  return answer;
}

NoteResponse Refused(const codec::Problem& problem) {
  NoteResponse answer;
  answer.http_status = HttpStatusOf(problem.refusal.reason);
  answer.json = codec::EncodeProblem(problem);
  answer.refused = problem.refusal.reason;
  return answer;
}

NoteResponse Refused(Reason reason, Verdict verdict, std::string detail) {
  codec::Problem problem;
  problem.refusal.reason = reason;
  problem.refusal.verdict = verdict;
  problem.refusal.detail = std::move(detail);
  return Refused(problem);
}

NoteResponse RefusedFor(std::vector<configuration::NoteError> errors) {
  codec::Problem problem;
  problem.refusal.reason = Reason::kInvalidNote;
  problem.errors = std::move(errors);
  return Refused(problem);
}

std::vector<configuration::NoteError> ToNoteErrors(
    const std::vector<codec::ParseError>& errors) {
  std::vector<configuration::NoteError> result;
  for (const codec::ParseError& error : errors) {
    result.push_back({"", error.path, error.message});
  }
  return result;
}

}  // namespace

void ConfigurationStore::Submit(std::string text, bool check_only,
                                OnResponse on_response) {
  submissions_.push_back({std::move(text), check_only, std::move(on_response)});
  if (std::exchange(processing_, true)) return;
  asio::co_spawn(context_, ProcessSubmissions(), asio::detached);
}

asio::awaitable<void> ConfigurationStore::ProcessSubmissions() {
  while (!submissions_.empty()) {
    Submission submission = std::move(submissions_.front());
    submissions_.pop_front();
    std::optional<NoteResponse> answer;
    try {
      answer = co_await HandleSubmission(std::move(submission.text),
                                         submission.check_only);
    } catch (const Error& error) {
      // Thrown only before a write; Commit resolves failures of writes.
      answer = Refused(error.reason(), Verdict::kNotRun, error.what());
    }
    if (answer->refused) metrics_.Count(telemetry::Counter::kNotesRefused);
    submission.on_response(std::move(*answer));
  }
  processing_ = false;
}

asio::awaitable<NoteResponse> ConfigurationStore::HandleSubmission(
    std::string text, bool check_only) {
  auto parsed = codec::ParseNote(text);
  if (const auto* errors =
          std::get_if<std::vector<codec::ParseError>>(&parsed)) {
    co_return RefusedFor(ToNoteErrors(*errors));
  }
  ReleaseNote note = std::get<ReleaseNote>(std::move(parsed));
  const Head head = co_await FetchHead();
  co_await CatchUp(head);
  if (note.base.value < head.revision) {
    // It may be this note, submitted again after a lost response.
    co_return co_await RespondToConflict(std::move(note));
  }
  auto compiled = configuration::Compile(*keeper_.current(), note, *cells_);
  if (const auto* errors =
          std::get_if<std::vector<configuration::NoteError>>(&compiled)) {
    co_return RefusedFor(*errors);
  }
  auto next = std::get<configuration::Configuration>(std::move(compiled));
  if (check_only) co_return Accepted(next.revision);
  co_return co_await Commit(std::move(note), std::move(next), head);
}

asio::awaitable<NoteResponse> ConfigurationStore::Commit(
    ReleaseNote note, configuration::Configuration next, Head head) {
  configuration::NoteCommit commit(note.id, note.base, kMaxCommitRequests);
  configuration::NoteStep step = commit.Start();
  while (true) {
    if (std::holds_alternative<configuration::WriteNote>(step)) {
      const auto result = co_await Write(note, next, head);
      if (result == configuration::WriteResult::kNotDone) {
        co_await runtime::Sleep(context_, kRetryDelay);
      }
      step = commit.OnWrite(result);
    } else if (const auto* read = std::get_if<configuration::ReadBack>(&step)) {
      const auto found = co_await ReadBack(read->revision);
      if (!found) co_await runtime::Sleep(context_, kRetryDelay);
      step = commit.OnRead(found);
    } else if (const auto* accepted =
                   std::get_if<configuration::NoteAccepted>(&step)) {
      ApplyNote(note);
      metrics_.Count(telemetry::Counter::kNotesAccepted);
      telemetry::LogEvent(
          telemetry::Event::kNoteAccepted,
          {{"note", note.id.value},
           {"revision", std::to_string(accepted->revision.value)}});
      co_return Accepted(accepted->revision);
    } else if (std::holds_alternative<configuration::NoteConflict>(step)) {
      co_return co_await RespondToConflict(std::move(note));
    } else {
      co_return Refused(Reason::kStoreUnavailable,
                        std::get<configuration::NoteUnresolved>(step).verdict,
                        "send the same note with the same id again");
    }
  }
}

asio::awaitable<configuration::WriteResult> ConfigurationStore::Write(
    ReleaseNote note, configuration::Configuration next, Head head) {
  const std::uint64_t revision = next.revision.value;
  const bool snapshot = revision - head.snapshot >= kSnapshotIntervalRevisions;
  if (snapshot) {
    head.snapshot = revision;
    head.snapshot_key = SnapshotKey(revision, note.id);
  }
  platform::Transaction transaction;
  transaction.id = "note " + note.id.value;
  transaction.conditions.push_back({kHeadKey, head.version});
  transaction.writes.push_back(
      {kHeadKey, Json{{"revision", revision},
                      {"snapshot", head.snapshot},
                      {"snapshot_key", head.snapshot_key}}
                     .dump()});
  transaction.writes.push_back(
      {NoteKey(revision), EncodeNoteRow(revision, note)});
  try {
    if (snapshot) {
      co_await table_.PutObject(head.snapshot_key,
                                codec::EncodeConfiguration(next));
    }
    const platform::TransactionResult result =
        co_await table_.Transact(std::move(transaction));
    co_return std::holds_alternative<platform::Committed>(result)
        ? configuration::WriteResult::kCommitted
        : configuration::WriteResult::kConditionFailed;
  } catch (const Error& error) {
    co_return error.verdict() == Verdict::kNotRun
        ? configuration::WriteResult::kNotDone
        : configuration::WriteResult::kUnknown;
  }
}

asio::awaitable<std::optional<configuration::ReadBackResult>>
ConfigurationStore::ReadBack(Revision revision) {
  configuration::ReadBackResult read;
  try {
    const Head head = co_await FetchHead();
    read.newest = Revision{head.revision};
    if (head.revision >= revision.value &&
        head.revision - revision.value < kNoteSlots) {
      const Notes notes = co_await FetchNotes(revision.value, revision.value);
      read.note = notes.at(0).id;
    }
  } catch (const Error&) {
    co_return std::nullopt;
  }
  co_return read;
}

asio::awaitable<NoteResponse> ConfigurationStore::RespondToConflict(
    ReleaseNote note) {
  const Head head = co_await FetchHead();
  co_await CatchUp(head);
  const std::uint64_t wanted = note.base.value + 1;
  codec::Problem problem;
  problem.refusal.reason = Reason::kRevisionConflict;
  problem.refusal.detail = "revision " + std::to_string(head.revision) +
                           " is in force, the note stands on " +
                           std::to_string(note.base.value);
  if (head.revision >= wanted && head.revision - wanted < kNoteSlots) {
    const Notes winners = co_await FetchNotes(wanted, wanted);
    if (winners.at(0).id == note.id) co_return Accepted(Revision{wanted});
    problem.winner = winners.at(0).id;
    // The base configuration is no longer kept, so current values are used.
    problem.conflicts =
        configuration::FindConflicts(*keeper_.current(), winners.at(0), note);
  }
  telemetry::LogEvent(telemetry::Event::kNoteConflict,
                      {{"note", note.id.value}});
  co_return Refused(problem);
}

}  // namespace jasminespar::daemon
