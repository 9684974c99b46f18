#include "jasminespar/daemon/configuration_store.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "jasminespar/codec/call_json.h"
#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/codec/problem_json.h"
#include "jasminespar/configuration/compile.h"
#include "jasminespar/configuration/conflict.h"
#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;
using configuration::ReleaseNote;
using Json = nlohmann::json;

namespace {

constexpr char kHeadKey[] = "configuration/head";

/// Rows of the ring of notes; also how many texts are kept for peers.
constexpr std::uint64_t kNoteSlots = 1024;

/// A whole configuration is stored so often; at most kNoteSlots / 2.
constexpr std::uint64_t kSnapshotInterval = 256;
constexpr std::size_t kReadKeys = 128;
constexpr int kCommitRequests = 12;
constexpr Duration kRetryPause = 200ms;

std::string NoteKey(std::uint64_t revision) {
  char text[16];
  std::snprintf(text, sizeof text, "note/%04u",
                static_cast<unsigned>(revision % kNoteSlots));
  return text;
}

/// Racing notes compile to different configurations of one revision, so the
/// key names the note as well.
std::string SnapshotKey(std::uint64_t revision,
                        const configuration::NoteId& note) {
  return "configuration/" + std::to_string(revision) + "-" +
         std::to_string(DigestOf(note.value).value);
}

/// A row of the ring: which revision it holds now, and its note.
std::string ToRow(std::uint64_t revision, const ReleaseNote& note) {
  return std::to_string(revision) + "\n" + codec::EncodeNote(note);
}

/// @throws Error when the row cannot be read.
ReleaseNote FromRow(const std::string& row, std::uint64_t revision) {
  const std::size_t end = row.find('\n');
  if (row.substr(0, end) == std::to_string(revision)) {
    // A newer instance may have written members that this one does not know.
    auto parsed =
        codec::ParseNote(row.substr(end + 1), codec::UnknownMembers::kIgnore);
    if (auto* note = std::get_if<ReleaseNote>(&parsed)) return std::move(*note);
  }
  throw Error(Reason::kStoreUnavailable, Verdict::kNotRun,
              "no note " + std::to_string(revision));
}

NoteAnswered Accepted(Revision revision) {
  NoteAnswered answer;
  answer.json = codec::EncodeRevision(revision);
  return answer;
}

NoteAnswered Refused(const codec::Problem& problem) {
  NoteAnswered answer;
  answer.http_status = HttpStatusOf(problem.refusal.reason);
  answer.json = codec::EncodeProblem(problem);
  answer.refused = problem.refusal.reason;
  return answer;
}

NoteAnswered Refused(Reason reason, Verdict verdict, std::string detail) {
  codec::Problem problem;
  problem.refusal.reason = reason;
  problem.refusal.verdict = verdict;
  problem.refusal.detail = std::move(detail);
  return Refused(problem);
}

NoteAnswered RefusedFor(std::vector<configuration::NoteFault> faults) {
  codec::Problem problem;
  problem.refusal.reason = Reason::kInvalidNote;
  problem.faults = std::move(faults);
  return Refused(problem);
}

std::vector<configuration::NoteFault> ToNoteFaults(
    const std::vector<codec::ParseFault>& faults) {
  std::vector<configuration::NoteFault> result;
  for (const codec::ParseFault& fault : faults) {
    result.push_back({"", fault.path, fault.message});
  }
  return result;
}

asio::awaitable<void> Sleep(asio::io_context& context, Duration span) {
  asio::steady_timer timer(context, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

ConfigurationStore::ConfigurationStore(asio::io_context& context,
                                       platform::TableClient& table,
                                       Duration poll_interval,
                                       OnChanged on_changed,
                                       telemetry::Metrics& metrics)
    : context_(context),
      table_(table),
      poll_interval_(poll_interval),
      on_changed_(std::move(on_changed)),
      metrics_(metrics),
      cells_(std::make_shared<std::vector<configuration::CellTopology>>()) {}

void ConfigurationStore::Start() {
  asio::co_spawn(context_, Poll(), asio::detached);
}

// Following.

asio::awaitable<void> ConfigurationStore::Poll() {
  while (true) {
    try {
      const Head head = co_await FetchHead();
      co_await CatchUp(head);
    } catch (const Error&) {
      metrics_.Count(telemetry::Counter::kStoreErrors);
    }
    const bool waits = keeper_.current() == nullptr;
    co_await Sleep(context_, waits ? kRetryPause : poll_interval_);
  }
}

asio::awaitable<ConfigurationStore::Head> ConfigurationStore::FetchHead() {
  std::vector<std::string> keys{kHeadKey};
  const std::vector<platform::Row> rows = co_await table_.Read(std::move(keys));
  Head head;
  if (!rows.empty()) {
    const Json json = Json::parse(rows[0].value, nullptr, false);
    if (!json.is_object()) {
      throw Error(Reason::kStoreUnavailable, Verdict::kNotRun, kHeadKey);
    }
    head.revision = json.value("revision", std::uint64_t{0});
    head.snapshot = json.value("snapshot", std::uint64_t{0});
    head.snapshot_key = json.value("snapshot_key", std::string());
    head.version = rows[0].version;
  }
  co_return head;
}

asio::awaitable<void> ConfigurationStore::CatchUp(Head head) {
  if (keeper_.current() == nullptr) {
    co_await LoadWhole(head);
    co_return;
  }
  if (keeper_.revision().value < head.snapshot) {
    configuration::Configuration whole =
        co_await FetchSnapshot(head.snapshot_key);
    TakeWhole(std::move(whole));
  }
  while (keeper_.revision().value < head.revision) {
    const std::uint64_t first = keeper_.revision().value + 1;
    const std::uint64_t last = std::min(head.revision, first + kReadKeys - 1);
    const Notes notes = co_await FetchNotes(first, last);
    for (const ReleaseNote& note : notes) TakeNote(note);
    // A peer may have brought them meanwhile; without progress, poll again.
    if (keeper_.revision().value < last) co_return;
  }
}

// Published once, at the end: what came before it is in force nowhere.
asio::awaitable<void> ConfigurationStore::LoadWhole(Head head) {
  configuration::Configuration whole;
  if (head.snapshot > 0) whole = co_await FetchSnapshot(head.snapshot_key);
  while (whole.revision.value < head.revision) {
    const std::uint64_t first = whole.revision.value + 1;
    const std::uint64_t last = std::min(head.revision, first + kReadKeys - 1);
    const Notes notes = co_await FetchNotes(first, last);
    for (const ReleaseNote& note : notes) {
      std::optional<configuration::Configuration> next =
          configuration::Apply(whole, note);
      if (!next) {
        throw Error(Reason::kStoreUnavailable, Verdict::kNotRun,
                    "no note stands on revision " +
                        std::to_string(whole.revision.value));
      }
      whole = *std::move(next);
    }
  }
  TakeWhole(std::move(whole));
}

asio::awaitable<configuration::Configuration> ConfigurationStore::FetchSnapshot(
    std::string key) {
  const auto bytes = co_await table_.GetObject(key);
  if (!bytes) {
    throw Error(Reason::kStoreUnavailable, Verdict::kNotRun, key);
  }
  auto parsed = codec::ParseConfiguration(*bytes);
  auto* whole = std::get_if<configuration::Configuration>(&parsed);
  if (whole == nullptr) {
    throw Error(Reason::kStoreUnavailable, Verdict::kNotRun, key);
  }
  co_return std::move(*whole);
}

asio::awaitable<ConfigurationStore::Notes> ConfigurationStore::FetchNotes(
    std::uint64_t first, std::uint64_t last) {
  std::vector<std::string> keys;
  for (std::uint64_t revision = first; revision <= last; ++revision) {
    keys.push_back(NoteKey(revision));
  }
  std::map<std::string, std::string> values;
  std::vector<platform::Row> rows = co_await table_.Read(std::move(keys));
  for (platform::Row& row : rows) {
    values[row.key] = std::move(row.value);
  }
  Notes notes;
  for (std::uint64_t revision = first; revision <= last; ++revision) {
    notes.push_back(FromRow(values[NoteKey(revision)], revision));
  }
  co_return notes;
}

void ConfigurationStore::TakeNote(const ReleaseNote& note) {
  const auto outcome = keeper_.Offer(note);
  if (std::holds_alternative<configuration::RevisionApplied>(outcome)) {
    recent_[keeper_.revision().value] = codec::EncodeNote(note);
    if (recent_.size() > kNoteSlots) recent_.erase(recent_.begin());
  }
  Publish(outcome);
}

void ConfigurationStore::TakeWhole(configuration::Configuration whole) {
  const auto outcome = keeper_.Offer(std::move(whole));
  if (std::holds_alternative<configuration::RevisionApplied>(outcome)) {
    recent_.clear();  // What came between is not known one by one.
  }
  Publish(outcome);
}

void ConfigurationStore::Publish(
    const configuration::RevisionOutcome& outcome) {
  std::visit(Overloaded{
                 [&](const configuration::RevisionApplied& applied) {
                   metrics_.Count(telemetry::Counter::kRevisionsApplied);
                   telemetry::LogEvent(
                       telemetry::Event::kRevisionApplied,
                       {{"revision", std::to_string(applied.revision.value)}});
                   on_changed_(keeper_.current());
                 },
                 [&](const configuration::RevisionIgnored&) {
                   metrics_.Count(telemetry::Counter::kRevisionsIgnored);
                 },
                 [](const configuration::RevisionGap&) {},
             },
             outcome);
}

// Peers and operators.

protocol::Notes ConfigurationStore::NotesAfter(Revision after) const {
  protocol::Notes notes;
  notes.through = keeper_.revision();
  if (keeper_.current() == nullptr || after >= notes.through) return notes;
  // One that asks from revision 0 may have no configuration to build on.
  if (after.value > 0 && !recent_.empty() &&
      recent_.begin()->first <= after.value + 1) {
    for (auto it = recent_.upper_bound(after.value); it != recent_.end();
         ++it) {
      notes.texts.push_back(it->second);
    }
    return notes;
  }
  notes.whole = true;
  notes.texts.push_back(codec::EncodeConfiguration(*keeper_.current()));
  return notes;
}

void ConfigurationStore::Receive(const protocol::Notes& notes) {
  for (const std::string& text : notes.texts) {
    if (notes.whole) {
      auto parsed = codec::ParseConfiguration(text);
      auto* whole = std::get_if<configuration::Configuration>(&parsed);
      if (whole != nullptr) TakeWhole(std::move(*whole));
      continue;
    }
    auto parsed = codec::ParseNote(text, codec::UnknownMembers::kIgnore);
    if (const auto* note = std::get_if<ReleaseNote>(&parsed)) TakeNote(*note);
  }
}

NoteAnswered ConfigurationStore::ListAfter(Revision after) const {
  std::vector<ReleaseNote> notes;
  for (auto it = recent_.upper_bound(after.value); it != recent_.end(); ++it) {
    notes.push_back(std::get<ReleaseNote>(
        codec::ParseNote(it->second, codec::UnknownMembers::kIgnore)));
  }
  NoteAnswered answer;
  answer.json = codec::EncodeNotes(notes);
  return answer;
}

// Submission.

void ConfigurationStore::Submit(std::string text, bool check_only,
                                OnAnswer on_answer) {
  submissions_.push_back({std::move(text), check_only, std::move(on_answer)});
  if (std::exchange(serving_, true)) return;
  asio::co_spawn(context_, ServeSubmissions(), asio::detached);
}

asio::awaitable<void> ConfigurationStore::ServeSubmissions() {
  while (!submissions_.empty()) {
    Submission submission = std::move(submissions_.front());
    submissions_.pop_front();
    std::optional<NoteAnswered> answer;
    try {
      answer =
          co_await Decide(std::move(submission.text), submission.check_only);
    } catch (const Error& error) {
      // Thrown before any write only; Commit resolves its own.
      answer = Refused(error.reason(), Verdict::kNotRun, error.what());
    }
    if (answer->refused) metrics_.Count(telemetry::Counter::kNotesRefused);
    submission.on_answer(std::move(*answer));
  }
  serving_ = false;
}

asio::awaitable<NoteAnswered> ConfigurationStore::Decide(std::string text,
                                                         bool check_only) {
  auto parsed = codec::ParseNote(text);
  if (const auto* faults =
          std::get_if<std::vector<codec::ParseFault>>(&parsed)) {
    co_return RefusedFor(ToNoteFaults(*faults));
  }
  ReleaseNote note = std::get<ReleaseNote>(std::move(parsed));
  const Head head = co_await FetchHead();
  co_await CatchUp(head);
  if (note.base.value < head.revision) {
    // It may be this very note, sent again after a lost answer.
    co_return co_await AnswerConflict(std::move(note));
  }
  auto compiled = configuration::Compile(*keeper_.current(), note, *cells_);
  if (const auto* faults =
          std::get_if<std::vector<configuration::NoteFault>>(&compiled)) {
    co_return RefusedFor(*faults);
  }
  auto next = std::get<configuration::Configuration>(std::move(compiled));
  if (check_only) co_return Accepted(next.revision);
  co_return co_await Commit(std::move(note), std::move(next), head);
}

asio::awaitable<NoteAnswered> ConfigurationStore::Commit(
    ReleaseNote note, configuration::Configuration next, Head head) {
  configuration::NoteCommit commit(note.id, note.base, kCommitRequests);
  configuration::NoteStep step = commit.Start();
  while (true) {
    if (std::holds_alternative<configuration::WriteNote>(step)) {
      const auto result = co_await Write(note, next, head);
      if (result == configuration::WriteResult::kNotDone) {
        co_await Sleep(context_, kRetryPause);
      }
      step = commit.OnWrite(result);
    } else if (const auto* read = std::get_if<configuration::ReadBack>(&step)) {
      const auto found = co_await ReadBack(read->revision);
      if (!found) co_await Sleep(context_, kRetryPause);
      step = commit.OnRead(found);
    } else if (const auto* accepted =
                   std::get_if<configuration::NoteAccepted>(&step)) {
      TakeNote(note);
      metrics_.Count(telemetry::Counter::kNotesAccepted);
      telemetry::LogEvent(
          telemetry::Event::kNoteAccepted,
          {{"note", note.id.value},
           {"revision", std::to_string(accepted->revision.value)}});
      co_return Accepted(accepted->revision);
    } else if (std::holds_alternative<configuration::NoteConflict>(step)) {
      co_return co_await AnswerConflict(std::move(note));
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
  const bool snapshot = revision - head.snapshot >= kSnapshotInterval;
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
  transaction.writes.push_back({NoteKey(revision), ToRow(revision, note)});
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

asio::awaitable<std::optional<configuration::NoteRead>>
ConfigurationStore::ReadBack(Revision revision) {
  configuration::NoteRead read;
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

asio::awaitable<NoteAnswered> ConfigurationStore::AnswerConflict(
    ReleaseNote note) {
  const Head head = co_await FetchHead();
  co_await CatchUp(head);
  const std::uint64_t taken = note.base.value + 1;
  codec::Problem problem;
  problem.refusal.reason = Reason::kRevisionConflict;
  problem.refusal.detail = "revision " + std::to_string(head.revision) +
                           " is in force, the note stands on " +
                           std::to_string(note.base.value);
  if (head.revision >= taken && head.revision - taken < kNoteSlots) {
    const Notes winners = co_await FetchNotes(taken, taken);
    if (winners.at(0).id == note.id) co_return Accepted(Revision{taken});
    problem.winner = winners.at(0).id;
    // The base itself is no longer kept; the present values serve.
    problem.conflicts =
        configuration::FindConflicts(*keeper_.current(), winners.at(0), note);
  }
  telemetry::LogEvent(telemetry::Event::kNoteConflict,
                      {{"note", note.id.value}});
  co_return Refused(problem);
}

}  // namespace jasminespar::daemon
