#include "jasminespar/daemon/platform_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/protocol/ownership_row.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;

namespace {

/// From the first failure until the store counts as unavailable.
constexpr Duration kOutageDelay = 700ms;
constexpr Duration kProbeInterval = 500ms;
constexpr Duration kOutageProbeInterval = 200ms;

std::string RowKey(const CellId& cell) { return "cell/" + cell.value; }

membership::ListedInstance ToListed(const platform::InstanceEntry& entry) {
  return {entry.id, entry.data_centre, entry.caller, entry.peer, entry.state};
}

}  // namespace

PlatformLink::PlatformLink(runtime::Duty& duty,
                           const PlatformLinkSettings& settings,
                           PlatformOutputs outputs, telemetry::Metrics& metrics)
    : context_(duty.context()),
      settings_(settings),
      outputs_(outputs),
      metrics_(metrics),
      table_(context_, settings.platform, settings.request_timeout),
      configuration_(
          context_, table_, settings.configuration_poll_interval,
          [this](ConfigurationPtr configuration) {
            outputs_.front.Send(ConfigurationUpdate{configuration});
            outputs_.decider.Send(ConfigurationUpdate{configuration});
            outputs_.peer.Send(ConfigurationUpdate{configuration});
          },
          metrics),
      cells_(std::make_shared<std::vector<configuration::CellTopology>>()) {}

void PlatformLink::Start() {
  asio::co_spawn(context_, PollList(), asio::detached);
  asio::co_spawn(context_, ProbeTable(), asio::detached);
  configuration_.Start();
}

void PlatformLink::Handle(ToPlatform message) {
  std::visit([this](auto&& alternative) { On(std::move(alternative)); },
             std::move(message));
}

// The platform's list.

asio::awaitable<void> PlatformLink::PollList() {
  while (true) {
    try {
      const platform::InstanceList list = co_await table_.ListInstances();
      ApplyList(list);
    } catch (const Error&) {
      metrics_.Count(telemetry::Counter::kStoreErrors);
    }
    co_await runtime::Sleep(context_, settings_.list_poll_interval);
  }
}

// The list may be served while the table is not, so the table is probed too.
asio::awaitable<void> PlatformLink::ProbeTable() {
  while (true) {
    bool available = true;
    try {
      std::vector<std::string> keys{"configuration/head"};
      co_await table_.Read(std::move(keys));
    } catch (const Error&) {
      available = false;
    }
    RecordStoreOutcome(available);
    co_await runtime::Sleep(context_,
                            available ? kProbeInterval : kOutageProbeInterval);
  }
}

void PlatformLink::ApplyList(const platform::InstanceList& list) {
  InstanceListReceived received;
  for (const platform::InstanceEntry& entry : list.entries) {
    received.instances.push_back(ToListed(entry));
  }
  outputs_.peer.Send(std::move(received));
  list_read_ = true;
  ApplyWorkers(list.workers);
}

// An instance that has not read the list yet uses the workers from a peer.
void PlatformLink::On(WorkersReceived message) {
  if (!list_read_) ApplyWorkers(std::move(message.workers));
}

void PlatformLink::ApplyWorkers(std::vector<configuration::Worker> workers) {
  if (workers == workers_) return;
  workers_ = std::move(workers);
  cells_ = std::make_shared<const std::vector<configuration::CellTopology>>(
      configuration::GroupIntoCells(workers_, settings_.racks_per_cell));
  configuration_.ApplyCells(cells_);
  outputs_.front.Send(CellsUpdate{cells_});
  outputs_.decider.Send(CellsUpdate{cells_});
  outputs_.peer.Send(CellsUpdate{cells_});
}

// Ownership rows.

void PlatformLink::On(const OwnershipRequested& message) {
  std::visit(
      Overloaded{
          [&](const membership::ReadRow& read) {
            asio::co_spawn(context_, ReadOwnership(read.cell), asio::detached);
          },
          [&](const membership::ClaimCell& claim) {
            claims_[claim.cell] = Claim{claim.row};
            asio::co_spawn(context_,
                           WriteOwnership(claim.row, claim.expected_version),
                           asio::detached);
          },
          [&](const membership::ReleaseCell& release) {
            asio::co_spawn(
                context_, WriteOwnership(release.row, release.expected_version),
                asio::detached);
          },
      },
      message.action);
}

asio::awaitable<membership::VersionedRow> PlatformLink::FetchRow(CellId cell) {
  std::vector<std::string> keys{RowKey(cell)};
  const std::vector<platform::Row> rows = co_await table_.Read(std::move(keys));
  membership::VersionedRow result;
  result.row.cell = cell;
  if (!rows.empty()) {
    result.row = protocol::DecodeOwnershipRow(rows[0].value);
    result.version = rows[0].version;
  }
  co_return result;
}

asio::awaitable<void> PlatformLink::ReadOwnership(CellId cell) {
  try {
    const membership::VersionedRow row = co_await FetchRow(cell);
    HandleOwnershipRow(row);
    outputs_.peer.Send(OwnershipEvent(OwnershipRowRead{cell, row}));
    co_return;
  } catch (const Error&) {
    metrics_.Count(telemetry::Counter::kStoreErrors);
  }
  outputs_.peer.Send(OwnershipEvent(OwnershipRequestFailed{cell}));
}

asio::awaitable<void> PlatformLink::WriteOwnership(
    membership::OwnershipRow row, std::uint64_t expected_version) {
  const CellId cell = row.cell;
  platform::Transaction transaction;
  transaction.id = cell.value + "/" + std::to_string(row.claim_id);
  transaction.conditions.push_back({RowKey(cell), expected_version});
  transaction.writes.push_back({RowKey(cell), protocol::Encode(row)});
  std::optional<Verdict> failure;
  try {
    const platform::TransactionResult result =
        co_await table_.Transact(std::move(transaction));
    if (const auto* committed = std::get_if<platform::Committed>(&result)) {
      membership::VersionedRow written{row, committed->versions.at(0)};
      HandleOwnershipRow(written);
      outputs_.peer.Send(
          OwnershipEvent(OwnershipWriteCommitted{cell, written.version}));
      co_return;
    }
    const membership::VersionedRow present = co_await FetchRow(cell);
    HandleOwnershipRow(present);
    telemetry::LogEvent(
        telemetry::Event::kClaimConflict,
        {{"cell", cell.value}, {"owner", present.row.owner.value}});
    outputs_.peer.Send(OwnershipEvent(OwnershipWriteConflicted{cell, present}));
    co_return;
  } catch (const Error& error) {
    failure = error.verdict();
  }
  metrics_.Count(telemetry::Counter::kStoreErrors);
  if (*failure == Verdict::kNotRun) {
    outputs_.peer.Send(OwnershipEvent(OwnershipRequestFailed{cell}));
  } else {
    outputs_.peer.Send(OwnershipEvent(OwnershipWriteUnknown{cell}));
  }
}

// The response to the claim or a later read of the row may show its success.
void PlatformLink::HandleOwnershipRow(const membership::VersionedRow& row) {
  const auto claim = claims_.find(row.row.cell);
  if (claim == claims_.end() || claim->second.row != row.row) return;
  claims_.erase(claim);
  OpenJournal(row.row, row.version);
}

// Journals.

void PlatformLink::OpenJournal(const membership::OwnershipRow& row,
                               std::uint64_t version) {
  metrics_.Count(telemetry::Counter::kCellsClaimed);
  telemetry::LogEvent(
      telemetry::Event::kCellClaimed,
      {{"cell", row.cell.value}, {"epoch", std::to_string(row.epoch.durable)}});
  JournalFence fence{row.cell, row.epoch, RowKey(row.cell), version};
  auto journal = std::make_shared<CellJournal>(
      context_, table_, std::move(fence), settings_.journal,
      HandlersFor(row.cell, row.epoch), metrics_);
  JournalEntry& entry = journals_[row.cell];
  if (entry.journal != nullptr) entry.journal->Close();
  entry = {row.epoch, journal};
  UpdateBudgetShares();
  journal->Start();
}

JournalHandlers PlatformLink::HandlersFor(const CellId& cell, Epoch epoch) {
  JournalHandlers handlers;
  handlers.on_recovered = [this, cell, epoch](cell::RecoveredState state) {
    outputs_.decider.Send(CellClaimed{cell, epoch, std::move(state)});
  };
  handlers.on_durable = [this, cell, epoch](Sequence through) {
    outputs_.decider.Send(
        CellInput{cell, epoch, cell::JournalDurable{through}});
  };
  handlers.on_snapshot_requested = [this, cell, epoch] {
    outputs_.decider.Send(SnapshotRequested{cell, epoch});
  };
  handlers.on_fenced = [this, cell, epoch] {
    outputs_.decider.Send(CellLost{cell, epoch, Reason::kStaleEpoch});
    outputs_.peer.Send(OwnershipEvent(JournalFenced{cell}));
  };
  handlers.on_finished = [this, cell] {
    outputs_.peer.Send(OwnershipEvent(HandoverFinished{cell}));
  };
  handlers.on_store_outcome = [this](bool available) {
    RecordStoreOutcome(available);
  };
  return handlers;
}

CellJournal* PlatformLink::JournalOf(const CellId& cell, Epoch epoch) {
  const auto found = journals_.find(cell);
  if (found == journals_.end() || found->second.epoch != epoch) return nullptr;
  return found->second.journal.get();
}

void PlatformLink::On(JournalAppendRequested message) {
  CellJournal* journal = JournalOf(message.cell, message.epoch);
  if (journal != nullptr) journal->Append(std::move(message.append));
}

void PlatformLink::On(SnapshotTaken message) {
  CellJournal* journal = JournalOf(message.cell, message.epoch);
  if (journal != nullptr) journal->SetSnapshot(std::move(message.records));
}

void PlatformLink::On(const JournalFinishRequested& message) {
  CellJournal* journal = JournalOf(message.cell, message.epoch);
  if (journal != nullptr) journal->Finish();
}

void PlatformLink::On(const JournalCloseRequested& message) {
  CellJournal* journal = JournalOf(message.cell, message.epoch);
  if (journal == nullptr) return;
  journal->Close();
  journals_.erase(message.cell);
  UpdateBudgetShares();
}

void PlatformLink::On(const OwnerCountUpdate& message) {
  owner_count_ = std::max(message.owner_count, 1U);
  UpdateBudgetShares();
}

// The budget is for the whole site: every journal gets an equal share.
void PlatformLink::UpdateBudgetShares() {
  const std::size_t journals =
      std::max<std::size_t>(owner_count_, journals_.size());
  for (auto& [cell, entry] : journals_)
    entry.journal->SetJournalCount(journals);
}

void PlatformLink::RecordStoreOutcome(bool available) {
  const TimePoint now = runtime::SteadyNow();
  if (available) {
    failing_since_.reset();
  } else if (!failing_since_) {
    failing_since_ = now;
  }
  // A single refused write is no outage: the store also refuses writes over its
  // budget.
  const bool down = failing_since_ && now - *failing_since_ >= kOutageDelay;
  if (down == store_down_) return;
  store_down_ = down;
  telemetry::LogEvent(
      down ? telemetry::Event::kStoreUnavailable : telemetry::Event::kStoreBack,
      {});
  outputs_.decider.Send(StoreAvailable{!down});
}

// Release notes.

void PlatformLink::On(NoteSubmitted message) {
  const std::uint64_t number = message.number;
  configuration_.Submit(std::move(message.text), message.check_only,
                        [this, number](NoteResponse answer) {
                          answer.number = number;
                          outputs_.front.Send(std::move(answer));
                        });
}

void PlatformLink::On(const NoteListRequested& message) {
  NoteResponse answer = configuration_.ListAfter(message.after);
  answer.number = message.number;
  outputs_.front.Send(std::move(answer));
}

void PlatformLink::On(const NotesReceived& message) {
  configuration_.ApplyPeerNotes(message.notes);
}

void PlatformLink::On(const PeerNotesRequested& message) {
  outputs_.peer.Send(PeerNotesFound{message.connection,
                                    configuration_.NotesAfter(message.after)});
}

}  // namespace jasminespar::daemon
