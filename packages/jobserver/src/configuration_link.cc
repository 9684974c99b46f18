#include "jasminespar/jobserver/configuration_link.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/digest.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobs/configuration_change.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/runtime/spawn.h"
#include "jasminespar/site/table_path.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using telemetry::Event;

namespace {

/// Short, so that this watch is the first to notice that the path to the table
/// is cut.
constexpr Duration kWatchWait = 500ms;
constexpr Duration kWatchMargin = 500ms;
constexpr Duration kReadTimeout = 700ms;
constexpr Duration kIdleTimeout = 1s;
constexpr Duration kRetryDelay = 100ms;

/// Limits of the pause after a change, which is as long as the read took and so
/// bounds the share of time spent on a quick series of changes.
constexpr Duration kMinChangeInterval = 50ms;
constexpr Duration kMaxChangeInterval = 150ms;

/// The only connection is used by one request at a time.
constexpr std::size_t kConnections = 1;

/// A watch that returns several versions of the row is abandoned and the newest
/// one is read: a response may be larger than the last one by this factor.
constexpr double kWatchGrowth = 1.5;
/// A response of this size is never abandoned.
constexpr std::size_t kSmallResponseBytes = 128U << 10;

/// Versions that are kept for changes to peers, and the queues in all of them,
/// which bound the memory; so many versions are kept whatever their size.
constexpr std::size_t kMaxBases = 8;
constexpr std::size_t kMaxBaseQueues = 60'000;
constexpr std::size_t kMinBases = 2;

}  // namespace

ConfigurationLink::ConfigurationLink(
    runtime::Duty& duty, const configuration::Address& table_address,
    const InstanceId& self, const site::SiteCodec& codec, const Rings& rings,
    telemetry::Metrics& metrics)
    : duty_(duty),
      codec_(codec.operators),
      rings_(rings),
      metrics_(metrics),
      log_(rings.telemetry),
      table_(duty.context(), table_address, codec.table, kConnections),
      sync_(self),
      random_(SeededHash(self.value, 0)) {}

void ConfigurationLink::Start() {
  runtime::SpawnPersistent(duty_.context(), [this] { return FollowTable(); });
}

void ConfigurationLink::Handle(ToConfiguration message) {
  std::visit([this](auto& alternative) { On(alternative); }, message);
}

void ConfigurationLink::On(PeerConfigurations& peers) {
  sync_.HandlePeers(std::move(peers.peers), runtime::SteadyNow());
  AskPeerIfBehind();
}

void ConfigurationLink::On(const PeerAsksForConfiguration& ask) {
  if (current_ == nullptr || current_->version() <= ask.held) return;
  rings_.peers.Send(SendConfiguration{ask.connection, ChangeFrom(ask.held)});
}

void ConfigurationLink::On(PeerConfigurationReceived& received) {
  const TimePoint begun = runtime::SteadyNow();
  sync_.HandlePeerReply(received.peer);
  jobs::ConfigurationChange& change = received.reply.change;
  if (change.version > sync_.version()) {
    const jobs::SiteConfiguration* base =
        current_ == nullptr ? nullptr : &current_->content();
    std::optional<jobs::SiteConfiguration> configuration =
        jobs::Apply(base, std::move(change));
    if (configuration) {
      Origin origin;
      origin.source = received.peer.value;
      origin.row = received.reply.row;
      origin.decoding = runtime::SteadyNow() - begun;
      metrics_.Count(telemetry::Counter::kConfigurationsFromPeers);
      Adopt(*std::move(configuration), origin);
      PublishOwn();
    }
  }
  AskPeerIfBehind();
}

ConfigurationLink::Coroutine ConfigurationLink::FollowTable() {
  while (true) {
    const Duration delay = sync_.TableReadDelay(runtime::SteadyNow());
    if (delay > Duration{}) {
      PublishOwn();
      co_await runtime::Sleep(duty_.context(), delay);
    } else {
      co_await ReadTable();
    }
  }
}

ConfigurationLink::Coroutine ConfigurationLink::ReadTable() {
  const TimePoint sent_at = runtime::SteadyNow();
  site::TableRequest request = NextRequest();
  const http::ExchangeLimits limits = LimitsOf(request);
  const site::TableAnswer answer =
      co_await table_.Send(std::move(request), limits);
  const auto* page = std::get_if<site::RowPage>(&answer.outcome);
  if (page != nullptr) {
    HandlePage(*page, answer, sent_at);
    rings_.store.Send(ConfigurationReadEnded{site::RowPage{}, {}});
    if (!page->rows.empty()) {
      const Duration pause =
          std::clamp(sync_.read_time(), kMinChangeInterval, kMaxChangeInterval);
      co_await runtime::Sleep(duty_.context(), pause);
    }
    co_return;
  }
  const bool gone = std::holds_alternative<site::HistoryGone>(answer.outcome);
  read_whole_ = read_whole_ || gone || answer.too_large;
  if (gone || answer.too_large) co_return;
  sync_.HandleTableFailure();
  PublishOwn();
  rings_.store.Send(ConfigurationReadEnded{answer.outcome, answer.error});
  co_await runtime::Sleep(duty_.context(), kRetryDelay);
}

site::TableRequest ConfigurationLink::NextRequest() {
  const site::RowKey& key = codec_.configuration_row;
  if (read_whole_) {
    return site::RowRange{key.table, key.partition, key.key, key.key + '\0'};
  }
  watched_after_ = std::max(watched_after_, row_);
  return site::Watch{std::string(codec_.configuration_table), watched_after_,
                     kWatchWait};
}

http::ExchangeLimits ConfigurationLink::LimitsOf(
    const site::TableRequest& request) const {
  http::ExchangeLimits limits;
  limits.idle = kIdleTimeout;
  limits.response = kReadTimeout;
  if (std::holds_alternative<site::Watch>(request)) {
    limits.response = kWatchWait + kWatchMargin;
    const auto expected = static_cast<std::size_t>(
        kWatchGrowth * static_cast<double>(last_row_bytes_));
    limits.max_body_bytes = std::max(kSmallResponseBytes, expected);
  }
  return limits;
}

void ConfigurationLink::HandlePage(const site::RowPage& page,
                                   const site::TableAnswer& answer,
                                   TimePoint sent_at) {
  const site::Row* newest = nullptr;
  for (const site::Row& row : page.rows) {
    if (row.key == codec_.configuration_row && !row.deleted) newest = &row;
  }
  if (newest != nullptr) {
    last_row_bytes_ = answer.body_bytes / page.rows.size();
    HandleRow(*newest, answer, sent_at);
  } else {
    // A version that came from a peer after the watch began is not confirmed.
    const bool confirms = !read_whole_ && watched_after_ >= row_;
    sync_.HandleTableAnswer(confirms ? sync_.version() : Revision{},
                            runtime::SteadyNow(), std::nullopt);
  }
  watched_after_ = std::max(watched_after_, page.version);
  read_whole_ = false;
  PublishOwn();
}

void ConfigurationLink::HandleRow(const site::Row& row,
                                  const site::TableAnswer& answer,
                                  TimePoint sent_at) {
  if (row.version < row_) {
    // A peer was faster.
    sync_.HandleTableAnswer(Revision{}, sent_at, answer.transfer);
    return;
  }
  Origin origin{"table", row.version, row.value.size(), answer.transfer, {}};
  if (row.version > row_) {
    const TimePoint begun = runtime::SteadyNow();
    auto decoded = codec_.decode_configuration(row.value);
    if (const auto* error = std::get_if<site::DecodeError>(&decoded)) {
      log_.Log(Event::kRowUnreadable, {{"table", row.key.table},
                                       {"key", row.key.key},
                                       {"version", row.version.value},
                                       {"fault", error->message}});
      return;
    }
    origin.decoding = runtime::SteadyNow() - begun;
    metrics_.Observe(telemetry::Timing::kConfigurationRead,
                     origin.transfer + origin.decoding);
    Adopt(std::move(std::get<jobs::SiteConfiguration>(decoded)), origin);
  }
  sync_.HandleTableAnswer(sync_.version(), sent_at,
                          origin.transfer + origin.decoding);
}

void ConfigurationLink::AskPeerIfBehind() {
  const std::optional<InstanceId> peer =
      sync_.ChoosePeer(runtime::SteadyNow(), random_);
  if (peer) rings_.peers.Send(AskPeerForConfiguration{*peer, sync_.version()});
}

void ConfigurationLink::Adopt(jobs::SiteConfiguration configuration,
                              const Origin& origin) {
  if (configuration.version <= sync_.version()) {
    log_.Log(Event::kRevisionLowerIgnored,
             {{"version", configuration.version.value},
              {"in_force", sync_.version().value},
              {"source", origin.source},
              {"row", origin.row.value}});
    return;
  }
  if (current_ != nullptr) KeepAsBase(std::move(current_));
  changes_.clear();
  current_ = std::make_shared<const jobs::ConfigurationSnapshot>(
      std::move(configuration));
  row_ = std::max(row_, origin.row);
  sync_.SetVersion(current_->version(), runtime::SteadyNow());
  rings_.front.Send(ConfigurationUpdate{current_});
  rings_.dispatch.Send(ConfigurationUpdate{current_});
  metrics_.Count(telemetry::Counter::kRevisionsApplied);
  log_.Log(Event::kRevisionApplied,
           {{"version", current_->version().value},
            {"queues", current_->content().queues.size()},
            {"accounts", current_->content().accounts.size()},
            {"row", origin.row.value},
            {"source", origin.source},
            {"bytes", origin.bytes},
            {"transfer_ms", ToMilliseconds(origin.transfer)},
            {"decode_ms", ToMilliseconds(origin.decoding)}});
}

void ConfigurationLink::KeepAsBase(Snapshot snapshot) {
  bases_.push_back(std::move(snapshot));
  std::size_t queues = 0;
  for (const Snapshot& base : bases_) queues += base->content().queues.size();
  while (bases_.size() > kMaxBases ||
         (bases_.size() > kMinBases && queues > kMaxBaseQueues)) {
    queues -= bases_.front()->content().queues.size();
    bases_.pop_front();
  }
}

std::shared_ptr<const std::string> ConfigurationLink::ChangeFrom(
    Revision held) {
  const auto found = std::find_if(
      bases_.begin(), bases_.end(),
      [held](const Snapshot& base) { return base->version() == held; });
  const jobs::SiteConfiguration* base =
      found == bases_.end() ? nullptr : &(*found)->content();
  const Revision from = base == nullptr ? Revision{} : held;
  std::shared_ptr<const std::string>& message = changes_[from];
  if (message == nullptr) {
    protocol::ConfigurationReply reply;
    reply.change = jobs::DifferenceOf(base, current_->content());
    reply.row = row_;
    message = std::make_shared<const std::string>(
        protocol::Encode(protocol::JobPeerMessage(std::move(reply))));
  }
  return message;
}

void ConfigurationLink::PublishOwn() {
  rings_.peers.Send(OwnConfiguration{sync_.version(), sync_.confirmed_at(),
                                     sync_.WatchesTable(runtime::SteadyNow()),
                                     sync_.read_time()});
}

}  // namespace jasminespar::jobserver
