/// @file
/// Duty platform_link: all requests to the platform: ownership rows, journals,
/// release notes and the list of instances.

#ifndef JASMINESPAR_DAEMON_PLATFORM_LINK_H_
#define JASMINESPAR_DAEMON_PLATFORM_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "jasminespar/daemon/cell_journal.h"
#include "jasminespar/daemon/configuration_store.h"
#include "jasminespar/daemon/duty_messages.h"
#include "jasminespar/platform/table_client.h"
#include "jasminespar/runtime/channel.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

struct PlatformLinkSettings {
  configuration::Address platform;
  Duration request_timeout = 2s;
  Duration list_poll_interval = 1s;
  Duration configuration_poll_interval = 5s;
  std::uint32_t racks_per_cell = 64;
  JournalSettings journal;
};

struct PlatformOutputs {
  runtime::Channel<ToFront>& front;
  runtime::Channel<ToDecider>& decider;
  runtime::Channel<ToPeer>& peer;
};

/// Runs on its duty's thread only.
class PlatformLink {
 public:
  PlatformLink(runtime::Duty& duty, const PlatformLinkSettings& settings,
               PlatformOutputs outputs, telemetry::Metrics& metrics);

  void Start();
  void Handle(ToPlatform message);

 private:
  /// A claim in progress, to recognise its row when read back.
  struct Claim {
    membership::OwnershipRow row;
  };

  void On(JournalAppendRequested message);
  void On(SnapshotTaken message);
  void On(const JournalFinishRequested& message);
  void On(const OwnershipRequested& message);
  void On(const JournalCloseRequested& message);
  void On(NoteSubmitted message);
  void On(const NoteListRequested& message);
  void On(const NotesReceived& message);
  void On(const PeerNotesRequested& message);
  void On(WorkersReceived message);
  void On(const OwnerCountUpdate& message);

  boost::asio::awaitable<void> PollList();
  boost::asio::awaitable<void> ProbeTable();
  void ApplyList(const platform::InstanceList& list);
  void ApplyWorkers(std::vector<configuration::Worker> workers);
  /// Notifies the decider when the store becomes unavailable or available.
  void RecordStoreOutcome(bool available);
  boost::asio::awaitable<void> ReadOwnership(CellId cell);
  boost::asio::awaitable<void> WriteOwnership(membership::OwnershipRow row,
                                              std::uint64_t expected_version);
  boost::asio::awaitable<membership::VersionedRow> FetchRow(CellId cell);
  /// Opens the journal of the cell if the row is this instance's claim.
  void HandleOwnershipRow(const membership::VersionedRow& row);
  void OpenJournal(const membership::OwnershipRow& row, std::uint64_t version);
  [[nodiscard]] JournalHandlers HandlersFor(const CellId& cell, Epoch epoch);
  /// @return null when no journal is open for the cell under that epoch.
  [[nodiscard]] CellJournal* JournalOf(const CellId& cell, Epoch epoch);
  void UpdateBudgetShares();

  struct JournalEntry {
    Epoch epoch;
    std::shared_ptr<CellJournal> journal;
  };

  boost::asio::io_context& context_;
  PlatformLinkSettings settings_;
  PlatformOutputs outputs_;
  telemetry::Metrics& metrics_;
  platform::TableClient table_;
  ConfigurationStore configuration_;
  std::map<CellId, JournalEntry> journals_;
  std::map<CellId, Claim> claims_;
  std::vector<configuration::Worker> workers_;
  CellsPtr cells_;
  std::uint32_t owner_count_ = 1;
  bool list_read_ = false;  // At least once.
  bool store_down_ = false;
  std::optional<TimePoint> failing_since_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_PLATFORM_LINK_H_
