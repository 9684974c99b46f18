/// @file
/// Watches of the store link: which tables it reads and watches.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/jobserver/store_link.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/protocol/job_peer_message.h"
#include "jasminespar/protocol/job_records.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/runtime/spawn.h"
#include "jasminespar/site/watch_progress.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;

namespace {

// Members change only when an instance is added, and no deadline depends on
// them.
constexpr Duration kMemberTimeout = 10s;
constexpr Duration kMemberInterval = 1s;

constexpr Duration kStatusInterval = 60ms;

/// All instances watch the statuses, which change constantly: the more
/// instances there are, the longer each waits between two reads.
constexpr Duration kStatusIntervalPerMember = 3ms;
constexpr Duration kOwnerInterval = 500ms;
constexpr Duration kJobInterval = 5ms;
constexpr Duration kWorkerInterval = 400ms;

/// With the interval, far shorter than jobs::kMaxWorkerListAge.
constexpr Duration kWorkerTimeout = 400ms;

constexpr Duration kRetryDelay = 100ms;
constexpr Duration kReadTimeout = 2s;

std::vector<std::string> JobPartitions() {
  return {kJobPartitions.begin(), kJobPartitions.end()};
}

}  // namespace

asio::awaitable<std::optional<site::RowPage>> StoreLink::ReadPartitions(
    std::string table, std::vector<std::string> partitions) {
  struct PartitionReads {
    explicit PartitionReads(asio::io_context& context)
        : done(context, asio::steady_timer::time_point::max()) {}
    asio::steady_timer done;  // Cancelled by the last read.
    std::size_t pending = 0;
    bool failed = false;
    std::optional<site::RowPage> page;
  };
  auto reads = std::make_shared<PartitionReads>(duty_.context());
  reads->pending = partitions.size();
  const auto read = [](StoreLink* self, site::RowRange range,
                       std::shared_ptr<PartitionReads> shared) -> Coroutine {
    site::TableOutcome outcome =
        co_await self->client_.ReadAll(std::move(range), kReadTimeout);
    auto* page = std::get_if<site::RowPage>(&outcome);
    if (page == nullptr) {
      shared->failed = true;
    } else if (!shared->page) {
      shared->page = std::move(*page);
    } else {
      shared->page->version = std::min(shared->page->version, page->version);
      std::move(page->rows.begin(), page->rows.end(),
                std::back_inserter(shared->page->rows));
    }
    if (--shared->pending == 0) shared->done.cancel();
  };
  for (const std::string& partition : partitions) {
    site::RowRange range{table, partition, "", ""};
    asio::co_spawn(duty_.context(), read(this, std::move(range), reads),
                   asio::detached);
  }
  boost::system::error_code ignored;
  co_await reads->done.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  if (reads->failed) co_return std::nullopt;
  co_return std::move(reads->page);
}

void StoreLink::Spawn(TableWatch watch) {
  runtime::SpawnPersistent(duty_.context(), [this, watch = std::move(watch)] {
    return WatchTable(watch);
  });
}

asio::awaitable<void> StoreLink::WatchTable(TableWatch watch) {
  while (watch.active()) {
    const TimePoint sent_at = runtime::SteadyNow();
    const std::optional<site::RowPage> page =
        co_await ReadPartitions(watch.table, watch.partitions);
    if (!watch.active()) co_return;
    if (!page) {
      co_await runtime::Sleep(duty_.context(), kRetryDelay);
      continue;
    }
    std::set<std::string> keys;
    for (const site::Row& row : page->rows) {
      keys.insert(row.key.key);
      watch.on_row(row);
    }
    if (watch.on_loaded) watch.on_loaded(keys);
    if (watch.on_confirmed) watch.on_confirmed(sent_at);
    co_await WatchChanges(watch, page->version);
  }
}

asio::awaitable<void> StoreLink::WatchChanges(const TableWatch& watch,
                                              site::RowVersion after) {
  while (watch.active()) {
    const TimePoint sent_at = runtime::SteadyNow();
    site::Watch request{watch.table, after, watch.timeout};
    site::TableOutcome outcome = co_await client_.Send(std::move(request));
    if (!watch.active()) co_return;
    if (std::holds_alternative<site::HistoryGone>(outcome)) co_return;
    auto* page = std::get_if<site::RowPage>(&outcome);
    if (page == nullptr) {
      co_await runtime::Sleep(duty_.context(), kRetryDelay);
      continue;
    }
    after = std::max(after, page->version);
    for (const site::Row& row : page->rows) {
      const bool watched =
          std::find(watch.partitions.begin(), watch.partitions.end(),
                    row.key.partition) != watch.partitions.end();
      if (watched) watch.on_row(row);
    }
    const std::optional<TimePoint> as_of =
        site::CurrentAsOf(*page, sent_at, watch.timeout);
    if (!as_of) continue;  // The watch is behind; it reads on at once.
    if (watch.on_confirmed) watch.on_confirmed(*as_of);
    if (!page->rows.empty()) {
      co_await runtime::Sleep(duty_.context(), watch.interval());
    }
  }
}

void StoreLink::WatchStatuses() {
  TableWatch watch;
  watch.table = std::string(kStatusTable);
  watch.partitions = JobPartitions();
  watch.partitions.emplace_back(kCellPartition);
  watch.interval = [this] {
    const auto members = static_cast<Duration::rep>(members_.size());
    return std::max(kStatusInterval, kStatusIntervalPerMember * members);
  };
  watch.on_row = [this](const site::Row& row) { HandleStatusRow(row); };
  watch.on_loaded = [this](const std::set<std::string>& keys) {
    std::erase_if(cancelled_, [&](const std::string& job) {
      if (keys.contains(std::string(kCancellationPrefix) + job)) return false;
      SendCancellationDeleted(job);
      return true;
    });
    rings_.front.Send(StatusesLoaded{});
  };
  watch.active = [] { return true; };
  Spawn(std::move(watch));
}

void StoreLink::WatchOwner() {
  TableWatch watch;
  watch.table = std::string(kOwnerTable);
  watch.partitions = {std::string(kCellPartition)};
  watch.interval = [] { return kOwnerInterval; };
  watch.on_row = [this](const site::Row& row) { HandleOwnerRow(row); };
  watch.on_loaded = [this](const std::set<std::string>& keys) {
    if (keys.empty()) rings_.dispatch.Send(OwnerAbsent{});
  };
  watch.active = [] { return true; };
  Spawn(std::move(watch));
}

void StoreLink::WatchMembers() {
  TableWatch watch;
  watch.table = std::string(kMemberTable);
  watch.partitions = {std::string(kCellPartition)};
  watch.interval = [] { return kMemberInterval; };
  watch.timeout = kMemberTimeout;
  watch.on_row = [this](const site::Row& row) { HandleMemberRow(row); };
  watch.on_loaded = [this](const std::set<std::string>& keys) {
    std::erase_if(members_, [&keys](const std::string& member) {
      return !keys.contains(member);
    });
  };
  watch.active = [] { return true; };
  Spawn(std::move(watch));
}

asio::awaitable<void> StoreLink::Load(Epoch epoch) {
  const auto active = [this, epoch] { return owned_epoch_ == epoch; };
  std::map<std::string, std::vector<site::Row>> tables;
  for (const std::string_view table :
       {kProgressTable, kQueueTable, kWorkerTable}) {
    while (active() && !tables.contains(std::string(table))) {
      std::vector<std::string> partitions(1, std::string(kCellPartition));
      std::optional<site::RowPage> page =
          co_await ReadPartitions(std::string(table), std::move(partitions));
      if (page) {
        tables[std::string(table)] = std::move(page->rows);
      } else {
        co_await runtime::Sleep(duty_.context(), kRetryDelay);
      }
    }
  }
  if (!active()) co_return;
  loaded_progress_.clear();
  for (const site::Row& row : tables[std::string(kProgressTable)]) {
    try {
      jobs::JobProgress progress = protocol::DecodeJobProgress(row.value);
      const auto first_task = FirstTaskOf(progress.job, row.key.key);
      if (!first_task) {
        LogUnreadableRow(row, "key is not of its job");
        continue;
      }
      progress.first_task = *first_task;
      loaded_progress_[progress.job].push_back(std::move(progress));
    } catch (const Error& error) {
      LogUnreadableRow(row, error.what());
    }
  }
  for (const site::Row& row : tables[std::string(kQueueTable)]) {
    try {
      rings_.dispatch.Send(
          QueueRecordFound{epoch, {protocol::DecodeQueueRecord(row.value)}});
    } catch (const Error& error) {
      LogUnreadableRow(row, error.what());
    }
  }
  for (const site::Row& row : tables[std::string(kWorkerTable)]) {
    try {
      rings_.dispatch.Send(EnrolledWorkerFound{
          epoch, protocol::DecodeWorkerEnrolled(row.value)});
    } catch (const Error& error) {
      LogUnreadableRow(row, error.what());
    }
  }
  WatchWorkers(epoch);
}

void StoreLink::WatchWorkers(Epoch epoch) {
  listed_workers_.clear();
  workers_loaded_ = false;
  TableWatch watch;
  watch.table = std::string(codec_.operators.worker_table);
  watch.partitions = {std::string(codec_.operators.worker_partition)};
  watch.interval = [] { return kWorkerInterval; };
  watch.timeout = kWorkerTimeout;
  watch.on_row = [this, epoch](const site::Row& row) {
    HandleWorkerRow(row, epoch);
  };
  watch.on_loaded = [this, epoch](const std::set<std::string>& keys) {
    for (const std::string& name : std::set<std::string>(listed_workers_)) {
      if (keys.contains(name)) continue;
      RemoveWorker(name, jobs::UnlistedCause::kDeleted, epoch);
    }
    if (!std::exchange(workers_loaded_, true)) WatchJobs(epoch);
  };
  watch.on_confirmed = [this, epoch](TimePoint as_of) {
    rings_.dispatch.Send(WorkersConfirmed{epoch, as_of});
  };
  watch.active = [this, epoch] { return owned_epoch_ == epoch; };
  Spawn(std::move(watch));
}

void StoreLink::WatchJobs(Epoch epoch) {
  jobs_loaded_ = false;
  TableWatch watch;
  watch.table = std::string(kJobTable);
  watch.partitions = JobPartitions();
  watch.interval = [] { return kJobInterval; };
  watch.on_row = [this, epoch](const site::Row& row) {
    HandleJobRow(row, epoch);
  };
  watch.on_loaded = [this, epoch](const std::set<std::string>& keys) {
    JobRowsRead read{epoch, {}};
    for (const std::string& key : keys) read.rows.jobs.insert({key});
    rings_.dispatch.Send(std::move(read));
    if (std::exchange(jobs_loaded_, true)) return;
    for (const std::string& job : cancelled_) {
      rings_.dispatch.Send(CancellationFound{{job}});
    }
    loaded_progress_.clear();
    rings_.dispatch.Send(LoadCompleted{epoch});
  };
  watch.on_confirmed = [this, epoch](TimePoint as_of) {
    rings_.dispatch.Send(JobsConfirmed{epoch, as_of});
  };
  watch.active = [this, epoch] { return owned_epoch_ == epoch; };
  Spawn(std::move(watch));
}

}  // namespace jasminespar::jobserver
