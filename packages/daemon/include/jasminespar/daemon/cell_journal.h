/// @file
/// Writes the journal of one owned cell to the platform's table, with a batch
/// of records in each row, and its snapshots to the object store.

#ifndef JASMINESPAR_DAEMON_CELL_JOURNAL_H_
#define JASMINESPAR_DAEMON_CELL_JOURNAL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jasminespar/cell/cell.h"
#include "jasminespar/cell/messages.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/membership/write_budget.h"
#include "jasminespar/platform/table_client.h"
#include "jasminespar/protocol/journal_batch.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

/// The ownership row on whose version every write of the journal is
/// conditional.
struct JournalFence {
  CellId cell;
  Epoch epoch;
  std::string row_key;
  std::uint64_t row_version = 0;
};

/// Callbacks of a journal; run on its io_context.
struct JournalHandlers {
  std::function<void(cell::RecoveredState)> on_recovered;
  std::function<void(Sequence through)> on_durable;
  std::function<void()> on_snapshot_requested;
  /// A higher epoch exists; the journal is closed.
  std::function<void()> on_fenced;
  /// After `Finish`: all records are durable.
  std::function<void()> on_finished;
  /// After a request to the store: whether it succeeded.
  std::function<void(bool available)> on_store_outcome;
};

struct JournalSettings {
  std::size_t max_batch_bytes = 256U << 10;
  membership::WriteBudgetSettings budget;
  /// Above this, unwritten records are dropped and a snapshot is written
  /// instead.
  std::size_t max_unwritten_bytes = 32U << 20;
};

/// Held by shared_ptr; its coroutine keeps it alive until it is closed.
///
/// The rows form a ring of slots. Each write is conditional on the version of
/// the ownership row and of the slot it replaces, so a write whose response was
/// lost can be sent again: it takes effect once, or the slot shows that it
/// already did.
class CellJournal : public std::enable_shared_from_this<CellJournal> {
 public:
  CellJournal(boost::asio::io_context& context, platform::TableClient& table,
              JournalFence fence, const JournalSettings& settings,
              JournalHandlers handlers, telemetry::Metrics& metrics);

  /// Reads the last snapshot and the batches after it, then writes what is
  /// appended.
  void Start();

  /// Queues a record; `on_durable` reports when it is written.
  void Append(cell::AppendJournal append);

  /// Queues a snapshot that covers every record appended so far, in place of
  /// the records not yet written.
  void SetSnapshot(std::vector<cell::JournalRecord> records);

  /// Writes the remaining records without waiting for the write budget, then
  /// calls `on_finished`.
  void Finish();

  /// Stops writing; records not yet written are lost.
  void Close();

  /// Sets this journal's share of the site's write budget.
  /// @param journals number of journals written at the site.
  void SetJournalCount(std::size_t journals);

 private:
  using Self = std::shared_ptr<CellJournal>;

  struct Unwritten {
    Sequence sequence;
    cell::JournalRecord record;
    std::size_t bytes = 0;
    bool urgent = false;
  };
  struct Snapshot {
    std::string bytes;
    Sequence through;  ///< Last record covered.
  };

  static boost::asio::awaitable<void> Run(Self self);
  boost::asio::awaitable<bool> Recover();
  boost::asio::awaitable<cell::RecoveredState> ReadState();
  boost::asio::awaitable<void> WaitForWork();
  boost::asio::awaitable<void> WaitForBudget();
  boost::asio::awaitable<void> WriteBatch();
  boost::asio::awaitable<void> PublishSnapshot();
  /// Retries until the outcome is known.
  /// @param written_version set to the new version of the first row written.
  /// @return false when the journal was fenced or closed.
  boost::asio::awaitable<bool> Commit(platform::Transaction transaction,
                                      std::uint64_t& written_version);
  /// @return whether the row holds the value of `write`, with its version.
  boost::asio::awaitable<bool> IsOwnWrite(platform::RowWrite write,
                                          std::uint64_t& version);
  /// Records a failed request and waits until the next may be sent.
  boost::asio::awaitable<void> BackOff(Reason reason);
  void RecordStoreSuccess();
  /// Removes the records of the next batch from the queue.
  /// @param through set to the last of them.
  [[nodiscard]] protocol::JournalBatch NextBatch(Sequence& through);
  /// @return whether all slots but one hold batches that no snapshot covers.
  [[nodiscard]] bool SlotsExhausted() const;
  void RequestSnapshot();
  void DropUnwritten();
  void HandleFenced();
  [[nodiscard]] std::string SlotKey(std::uint64_t slot) const;

  boost::asio::io_context& context_;
  platform::TableClient& table_;
  JournalFence fence_;
  JournalSettings settings_;
  JournalHandlers handlers_;
  telemetry::Metrics& metrics_;
  boost::asio::steady_timer wake_timer_;  // Cancelled when there is work.

  std::deque<Unwritten> unwritten_;
  std::size_t unwritten_bytes_ = 0;
  std::size_t urgent_count_ = 0;  // Of unwritten_.
  Sequence appended_;             // Of the last record passed to Append.
  std::optional<Snapshot> snapshot_;
  bool snapshot_requested_ = false;
  bool needs_snapshot_ = false;  // Unwritten records were dropped.

  std::map<std::uint64_t, std::uint64_t> slot_versions_;
  std::uint64_t snapshot_version_ = platform::kAbsentVersion;
  std::uint64_t snapshot_through_ = 0;  // Last batch that the snapshot covers.
  std::string snapshot_key_;
  std::uint64_t last_batch_ = 0;

  membership::WriteBudget budget_;
  bool finishing_ = false;
  bool closed_ = false;
  std::mt19937_64 random_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_CELL_JOURNAL_H_
