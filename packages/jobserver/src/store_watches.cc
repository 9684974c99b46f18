/// @file
/// What the store link follows in the table, and what it makes of the rows.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <map>
#include <memory>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/jobserver/store_link.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/protocol/job_records.h"
#include "jasminespar/protocol/relay_message.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using telemetry::Event;

namespace {

/// Members change only when instances come; nothing hangs on it.
constexpr Duration kMemberWait = 10s;
constexpr Duration kMemberPace = 1s;

constexpr Duration kConfigurationPace = 50ms;

/// The shortest wait of all watches: it also shows first that a way is cut.
constexpr Duration kConfigurationWait = 500ms;
constexpr Duration kStatusPace = 60ms;

/// All instances follow the statuses, which change all the time: the more
/// there are, the longer each waits between two readings.
constexpr Duration kStatusPacePerMember = 3ms;
constexpr Duration kOwnerPace = 500ms;
constexpr Duration kJobPace = 5ms;
constexpr Duration kWorkerPace = 400ms;

constexpr Duration kRetryPause = 100ms;
constexpr Duration kReadSpan = 2s;

std::vector<std::string> JobParts() {
  return {kJobParts.begin(), kJobParts.end()};
}

}  // namespace

asio::awaitable<std::optional<site::RowPage>> StoreLink::ReadParts(
    std::string table, std::vector<std::string> parts) {
  struct Gathered {
    explicit Gathered(asio::io_context& context)
        : done(context, asio::steady_timer::time_point::max()) {}
    asio::steady_timer done;  // Cancelled by the last part.
    std::size_t missing = 0;
    bool failed = false;
    std::optional<site::RowPage> page;
  };
  auto gathered = std::make_shared<Gathered>(duty_.context());
  gathered->missing = parts.size();
  const auto read = [](StoreLink* self, site::RowRange range,
                       std::shared_ptr<Gathered> into) -> Task {
    site::TableOutcome outcome =
        co_await self->client_.ReadAll(std::move(range), kReadSpan);
    auto* page = std::get_if<site::RowPage>(&outcome);
    if (page == nullptr) {
      into->failed = true;
    } else if (!into->page) {
      into->page = std::move(*page);
    } else {
      into->page->version = std::min(into->page->version, page->version);
      std::move(page->rows.begin(), page->rows.end(),
                std::back_inserter(into->page->rows));
    }
    if (--into->missing == 0) into->done.cancel();
  };
  for (const std::string& part : parts) {
    site::RowRange range{table, part, "", ""};
    asio::co_spawn(duty_.context(), read(this, std::move(range), gathered),
                   asio::detached);
  }
  boost::system::error_code ignored;
  co_await gathered->done.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  if (gathered->failed) co_return std::nullopt;
  co_return std::move(gathered->page);
}

asio::awaitable<void> StoreLink::FollowTable(Follow follow) {
  while (follow.wanted()) {
    const std::optional<site::RowPage> page =
        co_await ReadParts(follow.table, follow.parts);
    if (!follow.wanted()) co_return;
    if (!page) {
      co_await runtime::Sleep(duty_.context(), kRetryPause);
      continue;
    }
    std::set<std::string> keys;
    for (const site::Row& row : page->rows) {
      keys.insert(row.key.key);
      follow.on_row(row);
    }
    if (follow.on_whole) follow.on_whole(keys);
    co_await FollowChanges(follow, page->version);
  }
}

asio::awaitable<void> StoreLink::FollowChanges(const Follow& follow,
                                               site::RowVersion after) {
  while (follow.wanted()) {
    site::Watch watch{follow.table, after, follow.wait};
    site::TableOutcome outcome = co_await client_.Ask(std::move(watch));
    if (!follow.wanted()) co_return;
    if (std::holds_alternative<site::HistoryGone>(outcome)) co_return;
    auto* page = std::get_if<site::RowPage>(&outcome);
    if (page == nullptr) {
      co_await runtime::Sleep(duty_.context(), kRetryPause);
      continue;
    }
    after = std::max(after, page->version);
    for (const site::Row& row : page->rows) {
      const bool followed = std::find(follow.parts.begin(), follow.parts.end(),
                                      row.key.part) != follow.parts.end();
      if (followed) follow.on_row(row);
    }
    if (!page->rows.empty()) {
      co_await runtime::Sleep(duty_.context(), follow.pace());
    }
  }
}

void StoreLink::FollowConfiguration() {
  Follow follow;
  follow.table = std::string(codec_.operators.configuration_table);
  follow.parts = {codec_.operators.configuration_row.part};
  follow.pace = [] { return kConfigurationPace; };
  follow.wait = kConfigurationWait;
  follow.on_row = [this](const site::Row& row) { TakeConfiguration(row); };
  follow.wanted = [] { return true; };
  asio::co_spawn(duty_.context(), FollowTable(std::move(follow)),
                 asio::detached);
}

void StoreLink::FollowStatuses() {
  Follow follow;
  follow.table = std::string(kStatusTable);
  follow.parts = JobParts();
  follow.parts.emplace_back(kCellPart);
  follow.pace = [this] {
    const auto members = static_cast<Duration::rep>(members_.size());
    return std::max(kStatusPace, kStatusPacePerMember * members);
  };
  follow.on_row = [this](const site::Row& row) { TakeStatus(row); };
  follow.on_whole = [this](const std::set<std::string>&) {
    rings_.front.Send(StatusesLoaded{});
  };
  follow.wanted = [] { return true; };
  asio::co_spawn(duty_.context(), FollowTable(std::move(follow)),
                 asio::detached);
}

void StoreLink::FollowOwner() {
  Follow follow;
  follow.table = std::string(kOwnerTable);
  follow.parts = {std::string(kCellPart)};
  follow.pace = [] { return kOwnerPace; };
  follow.on_row = [this](const site::Row& row) { TakeOwner(row); };
  follow.on_whole = [this](const std::set<std::string>& keys) {
    if (keys.empty()) rings_.dispatch.Send(OwnerAbsent{});
  };
  follow.wanted = [] { return true; };
  asio::co_spawn(duty_.context(), FollowTable(std::move(follow)),
                 asio::detached);
}

void StoreLink::FollowMembers() {
  Follow follow;
  follow.table = std::string(kMemberTable);
  follow.parts = {std::string(kCellPart)};
  follow.pace = [] { return kMemberPace; };
  follow.wait = kMemberWait;
  follow.on_row = [this](const site::Row& row) { TakeMember(row); };
  follow.wanted = [] { return true; };
  asio::co_spawn(duty_.context(), FollowTable(std::move(follow)),
                 asio::detached);
}

asio::awaitable<void> StoreLink::Load(Epoch epoch) {
  const auto wanted = [this, epoch] { return owned_ == epoch; };
  std::map<std::string, std::vector<site::Row>> tables;
  for (const std::string_view table : {kProgressTable, kWorkerTable}) {
    while (wanted() && !tables.contains(std::string(table))) {
      std::vector<std::string> parts(1, std::string(kCellPart));
      std::optional<site::RowPage> page =
          co_await ReadParts(std::string(table), std::move(parts));
      if (page) {
        tables[std::string(table)] = std::move(page->rows);
      } else {
        co_await runtime::Sleep(duty_.context(), kRetryPause);
      }
    }
  }
  if (!wanted()) co_return;
  loaded_progress_.clear();
  for (const site::Row& row : tables[std::string(kProgressTable)]) {
    try {
      loaded_progress_[row.key.key] = protocol::DecodeJobProgress(row.value);
    } catch (const Error& error) {
      ReportUnreadable(row, error.what());
    }
  }
  for (const site::Row& row : tables[std::string(kWorkerTable)]) {
    try {
      rings_.dispatch.Send(
          EnrolledSeen{epoch, protocol::DecodeWorkerEnrolled(row.value)});
    } catch (const Error& error) {
      ReportUnreadable(row, error.what());
    }
  }
  FollowWorkers(epoch);
}

void StoreLink::FollowWorkers(Epoch epoch) {
  listed_workers_.clear();
  workers_loaded_ = false;
  Follow follow;
  follow.table = std::string(codec_.operators.worker_table);
  follow.parts = {std::string(codec_.operators.worker_part)};
  follow.pace = [] { return kWorkerPace; };
  follow.on_row = [this, epoch](const site::Row& row) {
    TakeWorker(row, epoch);
  };
  follow.on_whole = [this, epoch](const std::set<std::string>& keys) {
    for (const std::string& name : std::set<std::string>(listed_workers_)) {
      if (keys.contains(name)) continue;
      listed_workers_.erase(name);
      rings_.dispatch.Send(WorkerGone{epoch, {name}});
    }
    if (!std::exchange(workers_loaded_, true)) FollowJobs(epoch);
  };
  follow.wanted = [this, epoch] { return owned_ == epoch; };
  asio::co_spawn(duty_.context(), FollowTable(std::move(follow)),
                 asio::detached);
}

void StoreLink::FollowJobs(Epoch epoch) {
  jobs_loaded_ = false;
  Follow follow;
  follow.table = std::string(kJobTable);
  follow.parts = JobParts();
  follow.pace = [] { return kJobPace; };
  follow.on_row = [this, epoch](const site::Row& row) { TakeJob(row, epoch); };
  follow.on_whole = [this, epoch](const std::set<std::string>&) {
    if (std::exchange(jobs_loaded_, true)) return;
    for (const std::string& job : cancelled_) {
      rings_.dispatch.Send(CancellationSeen{{job}});
    }
    loaded_progress_.clear();
    rings_.dispatch.Send(LoadFinished{epoch});
  };
  follow.wanted = [this, epoch] { return owned_ == epoch; };
  asio::co_spawn(duty_.context(), FollowTable(std::move(follow)),
                 asio::detached);
}

void StoreLink::TakeConfiguration(const site::Row& row) {
  if (row.key != codec_.operators.configuration_row || row.deleted) return;
  auto decoded = codec_.operators.decode_configuration(row.value);
  if (const auto* fault = std::get_if<site::DecodeFault>(&decoded)) {
    ReportUnreadable(row, fault->message);
    return;
  }
  auto& configuration = std::get<jobs::SiteConfiguration>(decoded);
  if (configuration.version.value <= configuration_version_) return;
  configuration_version_ = configuration.version.value;
  log_.Log(Event::kRevisionApplied,
           {{"version", configuration_version_},
            {"queues", configuration.queues.size()},
            {"accounts", configuration.accounts.size()},
            {"row", row.version.value}});
  metrics_.Count(telemetry::Counter::kRevisionsApplied);
  const auto shared =
      std::make_shared<const jobs::SiteConfiguration>(std::move(configuration));
  rings_.front.Send(ConfigurationSeen{shared});
  rings_.dispatch.Send(ConfigurationSeen{shared});
}

void StoreLink::TakeStatus(const site::Row& row) {
  if (row.key.key.starts_with(kCancellationPrefix)) {
    const std::string job = row.key.key.substr(kCancellationPrefix.size());
    if (row.deleted) {
      cancelled_.erase(job);
      return;
    }
    if (!cancelled_.insert(job).second) return;
    rings_.front.Send(CancellationSeen{{job}});
    rings_.dispatch.Send(CancellationSeen{{job}});
    return;
  }
  if (row.deleted) {
    // The row in the owner's part goes last.
    if (row.key.part == kCellPart) {
      rings_.front.Send(StatusForgotten{{row.key.key}});
    }
    return;
  }
  try {
    rings_.front.Send(StatusSeen{protocol::DecodeJobStatus(row.value)});
  } catch (const Error& error) {
    ReportUnreadable(row, error.what());
  }
}

void StoreLink::TakeOwner(const site::Row& row) {
  if (row.key.key != kOwnerKey || row.deleted) return;
  try {
    rings_.dispatch.Send(
        OwnerSeen{protocol::DecodeOwnerRow(row.value), row.version});
  } catch (const Error& error) {
    ReportUnreadable(row, error.what());
  }
}

void StoreLink::TakeMember(const site::Row& row) {
  if (row.deleted) {
    members_.erase(row.key.key);
    return;
  }
  try {
    protocol::MemberRow member = protocol::DecodeMemberRow(row.value);
    members_.insert(row.key.key);
    rings_.peers.Send(
        MemberSeen{std::move(member.instance), std::move(member.address)});
  } catch (const Error& error) {
    ReportUnreadable(row, error.what());
  }
}

void StoreLink::TakeJob(const site::Row& row, Epoch epoch) {
  if (row.deleted) return;
  try {
    JobSeen seen{epoch, protocol::DecodeAcceptedJob(row.value), {}};
    const auto progress = loaded_progress_.find(row.key.key);
    if (progress != loaded_progress_.end()) seen.progress = progress->second;
    rings_.dispatch.Send(std::move(seen));
  } catch (const Error& error) {
    ReportUnreadable(row, error.what());
  }
}

void StoreLink::TakeWorker(const site::Row& row, Epoch epoch) {
  if (row.deleted) {
    if (listed_workers_.erase(row.key.key) > 0) {
      rings_.dispatch.Send(WorkerGone{epoch, {row.key.key}});
    }
    return;
  }
  auto decoded = codec_.operators.decode_worker(row);
  if (const auto* fault = std::get_if<site::DecodeFault>(&decoded)) {
    if (listed_workers_.erase(row.key.key) > 0) {
      rings_.dispatch.Send(WorkerGone{epoch, {row.key.key}});
    }
    ReportUnreadable(row, fault->message);
    return;
  }
  listed_workers_.insert(row.key.key);
  rings_.dispatch.Send(
      WorkerSeen{epoch, std::move(std::get<jobs::WorkerEntry>(decoded))});
}

void StoreLink::ReportUnreadable(const site::Row& row,
                                 const std::string& what) {
  log_.Log(Event::kRowUnreadable, {{"table", row.key.table},
                                   {"key", row.key.key},
                                   {"version", row.version.value},
                                   {"fault", what}});
}

}  // namespace jasminespar::jobserver
