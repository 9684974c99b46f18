#include "jasminespar/daemon/cell_journal.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;

namespace {

constexpr Duration kMinBackoff = 20ms;

/// A snapshot is requested when half the slots are in use, and must be stored
/// before all are.
constexpr std::uint64_t kBatchesPerSnapshot = protocol::kJournalSlots / 2;

/// Encoded size of a record without its texts.
constexpr std::size_t kRecordOverheadBytes = 160;

std::size_t SizeOf(const cell::JournalRecord& record) {
  return kRecordOverheadBytes +
         std::visit(
             Overloaded{
                 [](const cell::CallAccepted& accepted) {
                   return accepted.request.body.size();
                 },
                 [](const cell::AttemptStarting& starting) {
                   return starting.placement.parts.size() * 16;
                 },
                 [](const cell::AttemptNeverStarted&) { return std::size_t{}; },
                 [](const cell::CallEnded& ended) {
                   const auto* answer = std::get_if<Answer>(&ended.outcome);
                   return answer == nullptr ? 0 : answer->body.size();
                 },
             },
             record);
}

std::string ToText(const Epoch& epoch) {
  return std::to_string(epoch.durable) + "." +
         std::to_string(epoch.provisional);
}

asio::awaitable<void> WaitOn(asio::steady_timer& timer) {
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

CellJournal::CellJournal(asio::io_context& context,
                         platform::TableClient& table, JournalFence fence,
                         const JournalSettings& settings,
                         JournalHandlers handlers, telemetry::Metrics& metrics)
    : context_(context),
      table_(table),
      fence_(std::move(fence)),
      settings_(settings),
      handlers_(std::move(handlers)),
      metrics_(metrics),
      wake_timer_(context),
      budget_(settings.budget),
      random_(fence_.epoch.durable) {}

void CellJournal::Start() {
  asio::co_spawn(context_, Run(shared_from_this()), asio::detached);
}

void CellJournal::Append(cell::AppendJournal append) {
  appended_ = append.sequence;
  if (needs_snapshot_) return;  // The snapshot will contain the record.
  Unwritten unwritten{append.sequence, std::move(append.record), 0,
                      append.urgent};
  unwritten.bytes = SizeOf(unwritten.record);
  unwritten_bytes_ += unwritten.bytes;
  urgent_count_ += unwritten.urgent ? 1 : 0;
  unwritten_.push_back(std::move(unwritten));
  if (unwritten_bytes_ > settings_.max_unwritten_bytes) DropUnwritten();
  wake_timer_.cancel();
}

void CellJournal::DropUnwritten() {
  unwritten_.clear();
  unwritten_bytes_ = 0;
  urgent_count_ = 0;
  needs_snapshot_ = true;
}

void CellJournal::SetSnapshot(std::vector<cell::JournalRecord> records) {
  snapshot_ = Snapshot{protocol::Encode(records), appended_};
  // The snapshot covers these records, so they need not be written.
  unwritten_.clear();
  unwritten_bytes_ = 0;
  urgent_count_ = 0;
  needs_snapshot_ = false;
  wake_timer_.cancel();
}

void CellJournal::Finish() {
  finishing_ = true;
  wake_timer_.cancel();
}

void CellJournal::Close() {
  closed_ = true;
  wake_timer_.cancel();
}

void CellJournal::HandleFenced() {
  if (closed_) return;
  Close();
  metrics_.Count(telemetry::Counter::kJournalFenced);
  telemetry::LogEvent(
      telemetry::Event::kJournalFenced,
      {{"cell", fence_.cell.value}, {"epoch", ToText(fence_.epoch)}});
  handlers_.on_fenced();
}

asio::awaitable<void> CellJournal::Run(Self self) {
  const bool recovered = co_await self->Recover();
  while (recovered && !self->closed_) {
    if (self->snapshot_) {
      co_await self->PublishSnapshot();
      continue;
    }
    if (self->needs_snapshot_) self->RequestSnapshot();
    if (self->unwritten_.empty() || self->SlotsExhausted()) {
      if (self->finishing_ && self->unwritten_.empty() &&
          !self->needs_snapshot_) {
        self->finishing_ = false;
        self->handlers_.on_finished();
      }
      co_await self->WaitForWork();
      continue;
    }
    co_await self->WaitForBudget();
    if (!self->closed_ && !self->snapshot_) co_await self->WriteBatch();
  }
}

asio::awaitable<void> CellJournal::WaitForWork() {
  wake_timer_.expires_at(asio::steady_timer::time_point::max());
  co_await WaitOn(wake_timer_);
}

asio::awaitable<void> CellJournal::WaitForBudget() {
  while (!closed_ && !snapshot_ && !finishing_) {
    const TimePoint now = runtime::SteadyNow();
    const membership::Batch batch{unwritten_.size(), unwritten_bytes_,
                                  urgent_count_ > 0};
    const TimePoint allowed = budget_.NextWriteTime(batch, now).value_or(now);
    if (now >= allowed) co_return;
    wake_timer_.expires_after(allowed - now);
    co_await WaitOn(wake_timer_);  // Woken early when a record was appended.
  }
}

void CellJournal::SetJournalCount(std::size_t journals) {
  budget_.SetOwnerCount(std::max<std::size_t>(journals, 1),
                        runtime::SteadyNow());
}

bool CellJournal::SlotsExhausted() const {
  return last_batch_ - snapshot_through_ >= protocol::kJournalSlots - 1;
}

void CellJournal::RequestSnapshot() {
  if (std::exchange(snapshot_requested_, true)) return;
  handlers_.on_snapshot_requested();
}

// Recovery.

asio::awaitable<bool> CellJournal::Recover() {
  while (!closed_) {
    std::optional<cell::RecoveredState> state;
    std::optional<Reason> failure;
    try {
      state = co_await ReadState();
    } catch (const Error& error) {
      failure = error.reason();
    }
    if (state) {
      RecordStoreSuccess();
      handlers_.on_recovered(std::move(*state));
      co_return true;
    }
    co_await BackOff(*failure);
  }
  co_return false;
}

asio::awaitable<cell::RecoveredState> CellJournal::ReadState() {
  cell::RecoveredState state;
  const std::string snapshot_row = "snapshot/" + fence_.cell.value;
  std::vector<std::string> keys{snapshot_row};
  const std::vector<platform::Row> rows = co_await table_.Read(std::move(keys));
  if (!rows.empty()) {
    const protocol::SnapshotRow row =
        protocol::DecodeSnapshotRow(rows[0].value);
    const auto bytes = co_await table_.GetObject(row.object_key);
    if (!bytes || DigestOf(*bytes).value != row.digest) {
      throw Error(Reason::kStoreUnavailable, Verdict::kNotRun,
                  "missing or damaged snapshot " + row.object_key);
    }
    state.records = protocol::DecodeRecords(*bytes);
    snapshot_version_ = rows[0].version;
    snapshot_through_ = row.through;
    snapshot_key_ = row.object_key;
  }
  std::map<std::uint64_t, protocol::JournalBatch> batches;
  slot_versions_.clear();
  std::string prefix = "journal/" + fence_.cell.value + "/";
  const std::vector<platform::Row> journal =
      co_await table_.Scan(std::move(prefix));
  for (const platform::Row& row : journal) {
    protocol::JournalBatch batch = protocol::DecodeJournalBatch(row.value);
    slot_versions_[batch.number % protocol::kJournalSlots] = row.version;
    if (batch.number > snapshot_through_) {
      batches.emplace(batch.number, std::move(batch));
    }
  }
  last_batch_ = snapshot_through_;
  for (auto& [number, batch] : batches) {
    last_batch_ = number;
    std::move(batch.records.begin(), batch.records.end(),
              std::back_inserter(state.records));
  }
  co_return state;
}

// Writing.

std::string CellJournal::SlotKey(std::uint64_t slot) const {
  char text[8];
  std::snprintf(text, sizeof text, "%04u", static_cast<unsigned>(slot));
  return "journal/" + fence_.cell.value + "/" + text;
}

protocol::JournalBatch CellJournal::NextBatch(Sequence& through) {
  protocol::JournalBatch batch;
  batch.epoch = fence_.epoch;
  batch.number = last_batch_ + 1;
  std::size_t bytes = 0;
  while (!unwritten_.empty() &&
         (batch.records.empty() ||
          bytes + unwritten_.front().bytes <= settings_.max_batch_bytes)) {
    Unwritten& next = unwritten_.front();
    bytes += next.bytes;
    urgent_count_ -= next.urgent ? 1 : 0;
    through = next.sequence;
    batch.records.push_back(std::move(next.record));
    unwritten_.pop_front();
  }
  unwritten_bytes_ -= bytes;
  return batch;
}

asio::awaitable<void> CellJournal::WriteBatch() {
  Sequence through;
  const protocol::JournalBatch batch = NextBatch(through);
  const std::uint64_t slot = batch.number % protocol::kJournalSlots;
  const std::string key = SlotKey(slot);
  platform::Transaction transaction;
  transaction.id = fence_.cell.value + "/" + ToText(fence_.epoch) + "/" +
                   std::to_string(batch.number);
  transaction.conditions.push_back({fence_.row_key, fence_.row_version});
  transaction.conditions.push_back({key, slot_versions_[slot]});
  transaction.writes.push_back({key, protocol::Encode(batch)});
  last_batch_ = batch.number;
  const TimePoint write_start = runtime::SteadyNow();
  std::uint64_t version = 0;
  const bool committed = co_await Commit(std::move(transaction), version);
  if (!committed) co_return;
  slot_versions_[slot] = version;
  metrics_.Count(telemetry::Counter::kJournalWrites);
  metrics_.Count(telemetry::Counter::kJournalRecords, batch.records.size());
  metrics_.Set(telemetry::Gauge::kJournalPendingBytes,
               static_cast<double>(unwritten_bytes_));
  metrics_.Observe(telemetry::Timing::kJournalWrite,
                   runtime::SteadyNow() - write_start);
  handlers_.on_durable(through);
  if (last_batch_ - snapshot_through_ >= kBatchesPerSnapshot) RequestSnapshot();
}

asio::awaitable<bool> CellJournal::Commit(platform::Transaction transaction,
                                          std::uint64_t& written_version) {
  while (!closed_) {
    std::optional<platform::TransactionResult> result;
    std::optional<Reason> failure;
    try {
      result = co_await table_.Transact(transaction);
      RecordStoreSuccess();
      metrics_.Count(telemetry::Counter::kStoreRowsWritten);
      budget_.RecordWrite(transaction.writes.size(), runtime::SteadyNow());
      if (const auto* committed = std::get_if<platform::Committed>(&*result)) {
        written_version = committed->versions.at(0);
        co_return true;
      }
      const bool own =
          co_await IsOwnWrite(transaction.writes[0], written_version);
      if (own) {
        metrics_.Count(telemetry::Counter::kStoreUnknownWrites);
        telemetry::LogEvent(telemetry::Event::kJournalUnknownWriteResolved,
                            {{"transaction", transaction.id}});
        co_return true;
      }
      HandleFenced();
      co_return false;
    } catch (const Error& error) {
      failure = error.reason();
    }
    co_await BackOff(*failure);
  }
  co_return false;
}

asio::awaitable<bool> CellJournal::IsOwnWrite(platform::RowWrite write,
                                              std::uint64_t& version) {
  std::vector<std::string> keys{write.key};
  const std::vector<platform::Row> rows = co_await table_.Read(std::move(keys));
  if (rows.empty() || rows[0].value != write.value) co_return false;
  version = rows[0].version;
  co_return true;
}

asio::awaitable<void> CellJournal::PublishSnapshot() {
  Snapshot snapshot = std::move(*snapshot_);
  snapshot_.reset();
  protocol::SnapshotRow row;
  row.object_key = "snapshot/" + fence_.cell.value + "/" +
                   ToText(fence_.epoch) + "-" +
                   std::to_string(snapshot.through.value);
  row.through = last_batch_;
  row.digest = DigestOf(snapshot.bytes).value;
  bool stored = false;
  while (!closed_ && !stored) {
    std::optional<Reason> failure;
    try {
      co_await table_.PutObject(row.object_key, snapshot.bytes);
      RecordStoreSuccess();
      stored = true;
    } catch (const Error& error) {
      failure = error.reason();
    }
    if (failure) co_await BackOff(*failure);
  }
  if (closed_) co_return;
  platform::Transaction transaction;
  transaction.id = row.object_key;
  const std::string key = "snapshot/" + fence_.cell.value;
  transaction.conditions.push_back({fence_.row_key, fence_.row_version});
  transaction.conditions.push_back({key, snapshot_version_});
  transaction.writes.push_back({key, protocol::Encode(row)});
  std::uint64_t version = 0;
  const bool committed = co_await Commit(std::move(transaction), version);
  if (!committed) co_return;
  const std::string replaced = std::exchange(snapshot_key_, row.object_key);
  snapshot_version_ = version;
  snapshot_through_ = row.through;
  snapshot_requested_ = false;
  handlers_.on_durable(snapshot.through);
  if (replaced.empty() || replaced == snapshot_key_) co_return;
  try {
    co_await table_.DeleteObject(replaced);
  } catch (const Error&) {
    // An object that no row names only takes space.
  }
}

asio::awaitable<void> CellJournal::BackOff(Reason reason) {
  metrics_.CountRetry(reason);
  metrics_.Count(telemetry::Counter::kStoreErrors);
  handlers_.on_store_outcome(false);
  const TimePoint now = runtime::SteadyNow();
  budget_.RecordFailure(now, random_);
  const membership::Batch whole_batch{1, settings_.max_batch_bytes, true};
  const TimePoint retry = budget_.NextWriteTime(whole_batch, now).value_or(now);
  asio::steady_timer timer(context_, std::max(retry - now, kMinBackoff));
  co_await WaitOn(timer);
}

void CellJournal::RecordStoreSuccess() {
  budget_.RecordSuccess();
  handlers_.on_store_outcome(true);
}

}  // namespace jasminespar::daemon
