#include "jasminespar/daemon/configuration_store.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/telemetry/events.h"
#include "note_rows.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;
using configuration::ReleaseNote;
using Json = nlohmann::json;

namespace {

constexpr std::size_t kMaxKeysPerRead = 128;
constexpr Duration kRetryDelay = 200ms;

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

// Applying revisions from the table.

asio::awaitable<void> ConfigurationStore::Poll() {
  while (true) {
    try {
      const Head head = co_await FetchHead();
      co_await CatchUp(head);
    } catch (const Error&) {
      metrics_.Count(telemetry::Counter::kStoreErrors);
    }
    // Without a note the instance serves no call.
    const bool serves = keeper_.revision() > Revision{};
    co_await runtime::Sleep(context_, serves ? poll_interval_ : kRetryDelay);
  }
}

asio::awaitable<ConfigurationStore::Head> ConfigurationStore::FetchHead() {
  std::vector<std::string> keys{kHeadKey};
  const std::vector<platform::Row> rows = co_await table_.Read(std::move(keys));
  Head head;
  if (!rows.empty()) {
    const Json json = Json::parse(rows[0].value, nullptr, false);
    if (!json.is_object()) {
      throw Error(Reason::kStoreUnavailable, Verdict::kNotRun,
                  "row configuration/head is not a JSON object");
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
    co_await LoadConfiguration(head);
    co_return;
  }
  if (keeper_.revision().value < head.snapshot) {
    configuration::Configuration whole =
        co_await FetchSnapshot(head.snapshot_key);
    ApplyConfiguration(std::move(whole));
  }
  while (keeper_.revision().value < head.revision) {
    const std::uint64_t first = keeper_.revision().value + 1;
    const std::uint64_t last =
        std::min(head.revision, first + kMaxKeysPerRead - 1);
    const Notes notes = co_await FetchNotes(first, last);
    for (const ReleaseNote& note : notes) ApplyNote(note);
    // A peer may have sent the same notes meanwhile. Without progress, continue
    // at the next poll.
    if (keeper_.revision().value < last) co_return;
  }
}

// Published only once complete: earlier revisions are in force nowhere.
asio::awaitable<void> ConfigurationStore::LoadConfiguration(Head head) {
  configuration::Configuration whole;
  if (head.snapshot > 0) whole = co_await FetchSnapshot(head.snapshot_key);
  while (whole.revision.value < head.revision) {
    const std::uint64_t first = whole.revision.value + 1;
    const std::uint64_t last =
        std::min(head.revision, first + kMaxKeysPerRead - 1);
    const Notes notes = co_await FetchNotes(first, last);
    for (const ReleaseNote& note : notes) {
      std::optional<configuration::Configuration> next =
          configuration::Apply(whole, note);
      if (!next) {
        throw Error(Reason::kStoreUnavailable, Verdict::kNotRun,
                    "no note is based on revision " +
                        std::to_string(whole.revision.value));
      }
      whole = *std::move(next);
    }
  }
  ApplyConfiguration(std::move(whole));
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
    notes.push_back(DecodeNoteRow(values[NoteKey(revision)], revision));
  }
  co_return notes;
}

void ConfigurationStore::ApplyNote(const ReleaseNote& note) {
  const auto outcome = keeper_.Apply(note);
  if (std::holds_alternative<configuration::RevisionApplied>(outcome)) {
    recent_notes_[keeper_.revision().value] = codec::EncodeNote(note);
    if (recent_notes_.size() > kNoteSlots)
      recent_notes_.erase(recent_notes_.begin());
  }
  Publish(outcome);
}

void ConfigurationStore::ApplyConfiguration(
    configuration::Configuration whole) {
  const auto outcome = keeper_.Apply(std::move(whole));
  if (std::holds_alternative<configuration::RevisionApplied>(outcome)) {
    recent_notes_.clear();  // The notes in between are unknown.
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

// Requests of peers and operators.

protocol::Notes ConfigurationStore::NotesAfter(Revision after) const {
  protocol::Notes notes;
  notes.through = keeper_.revision();
  if (keeper_.current() == nullptr || after >= notes.through) return notes;
  // A peer at revision 0 may have no configuration to apply notes to.
  if (after.value > 0 && !recent_notes_.empty() &&
      recent_notes_.begin()->first <= after.value + 1) {
    for (auto it = recent_notes_.upper_bound(after.value);
         it != recent_notes_.end(); ++it) {
      notes.texts.push_back(it->second);
    }
    return notes;
  }
  notes.is_configuration = true;
  notes.texts.push_back(codec::EncodeConfiguration(*keeper_.current()));
  return notes;
}

void ConfigurationStore::ApplyPeerNotes(const protocol::Notes& notes) {
  for (const std::string& text : notes.texts) {
    if (notes.is_configuration) {
      auto parsed = codec::ParseConfiguration(text);
      auto* whole = std::get_if<configuration::Configuration>(&parsed);
      if (whole != nullptr) ApplyConfiguration(std::move(*whole));
      continue;
    }
    auto parsed = codec::ParseNote(text, codec::UnknownMembers::kIgnore);
    if (const auto* note = std::get_if<ReleaseNote>(&parsed)) ApplyNote(*note);
  }
}

NoteResponse ConfigurationStore::ListAfter(Revision after) const {
  std::vector<ReleaseNote> notes;
  for (auto it = recent_notes_.upper_bound(after.value);
       it != recent_notes_.end(); ++it) {
    notes.push_back(std::get<ReleaseNote>(
        codec::ParseNote(it->second, codec::UnknownMembers::kIgnore)));
  }
  NoteResponse answer;
  answer.json = codec::EncodeNotes(notes);
  return answer;
}

}  // namespace jasminespar::daemon
