#include "jasminespar/jobserver/store_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/protocol/relay_message.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using telemetry::Event;

namespace {

/// On top of a watch's wait: the peer's own attempt, and the way to it.
constexpr Duration kRelayTimeout = 1600ms;

constexpr Duration kRetryPause = 100ms;

/// All attempts of one read or of the entry among the members.
constexpr Duration kAttemptsSpan = 2s;

/// The dispatcher is told that the table answers at most this often.
constexpr Duration kTableSeenInterval = 300ms;

}  // namespace

StoreLink::StoreLink(runtime::Duty& duty,
                     const site::TableClientSettings& settings,
                     const MemberSeen& self, const site::SiteCodec& codec,
                     const Rings& rings, telemetry::Metrics& metrics)
    : duty_(duty),
      self_(self),
      codec_(codec),
      rings_(rings),
      metrics_(metrics),
      log_(rings.telemetry),
      relays_(duty.context(), 0),
      client_(duty.context(), settings, codec.table,
              {[this] { return relay_available_; },
               [this](site::TableRequest request) {
                 return AskPeer(std::move(request));
               },
               [this](site::TablePath path, const site::TableOutcome& outcome) {
                 Observe(path, outcome);
               }}) {}

void StoreLink::Start() {
  failing_since_ = runtime::SteadyNow();
  FollowConfiguration();
  FollowStatuses();
  FollowOwner();
  FollowMembers();
  asio::co_spawn(duty_.context(), EnterMembers(), asio::detached);
}

void StoreLink::HandleFront(FrontToStore message) {
  std::visit(Overloaded{
                 [this](WriteRows& write) {
                   asio::co_spawn(duty_.context(),
                                  Write(std::move(write), true),
                                  asio::detached);
                 },
                 [this](ReadRow& read) {
                   asio::co_spawn(duty_.context(), Read(std::move(read)),
                                  asio::detached);
                 },
             },
             message);
}

void StoreLink::HandleDispatch(DispatchToStore message) {
  std::visit(
      Overloaded{
          [this](WriteRows& write) {
            asio::co_spawn(duty_.context(), Write(std::move(write), false),
                           asio::detached);
          },
          [this](BeginOwning& begin) {
            owned_ = begin.epoch;
            asio::co_spawn(duty_.context(), Load(begin.epoch), asio::detached);
          },
          [this](EndOwning&) { owned_.reset(); },
      },
      message);
}

void StoreLink::HandlePeers(PeersToStore message) {
  std::visit(Overloaded{
                 [this](ServeRelay& serve) {
                   asio::co_spawn(duty_.context(), Serve(std::move(serve)),
                                  asio::detached);
                 },
                 [this](RelayEnded& ended) {
                   relays_.Complete(ended.number, std::move(ended.outcome));
                 },
                 [this](const RelayAvailable& relay) {
                   relay_available_ = relay.available;
                   TellUsable();
                 },
             },
             message);
}

asio::awaitable<void> StoreLink::Serve(ServeRelay request) {
  site::TableOutcome outcome =
      co_await client_.AskStraight(std::move(request.request));
  rings_.peers.Send(
      RelayServed{request.connection, request.number, std::move(outcome)});
}

asio::awaitable<site::TableOutcome> StoreLink::AskPeer(
    site::TableRequest request) {
  const auto* watch = std::get_if<site::Watch>(&request);
  const Duration timeout =
      kRelayTimeout + (watch == nullptr ? Duration{} : watch->wait);
  const std::uint64_t number = relays_.Register();
  rings_.peers.Send(RelayWanted{number, std::move(request)});
  std::optional<site::TableOutcome> outcome =
      co_await relays_.Wait(number, timeout);
  if (!outcome) outcome = site::NoAnswer{};
  co_return *std::move(outcome);
}

asio::awaitable<void> StoreLink::EnterMembers() {
  site::Transaction transaction;
  transaction.writes.push_back(
      {CellRow(kMemberTable, self_.instance.value),
       protocol::Encode(protocol::MemberRow{self_.instance, self_.address}),
       {}});
  while (true) {
    site::Transaction copy = transaction;
    const site::TableOutcome outcome = co_await client_.Transact(
        std::move(copy), kAttemptsSpan, kAttemptsSpan);
    if (std::holds_alternative<site::Committed>(outcome)) co_return;
    co_await runtime::Sleep(duty_.context(), kRetryPause);
  }
}

asio::awaitable<void> StoreLink::Write(WriteRows request, bool for_front) {
  const TimePoint begun = runtime::SteadyNow();
  site::TableOutcome outcome = co_await client_.Transact(
      std::move(request.transaction), request.span, request.turned_away_span);
  metrics_.Observe(telemetry::Timing::kStoreRequest,
                   runtime::SteadyNow() - begun);
  WriteEnded ended{request.number, std::move(outcome)};
  if (for_front) {
    rings_.front.Send(std::move(ended));
  } else {
    rings_.dispatch.Send(std::move(ended));
  }
}

asio::awaitable<void> StoreLink::Read(ReadRow request) {
  site::RowRange range{request.key.table, request.key.part, request.key.key,
                       request.key.key + '\0'};
  site::TableOutcome outcome =
      co_await client_.ReadAll(std::move(range), kAttemptsSpan);
  rings_.front.Send(ReadEnded{request.number, std::move(outcome)});
}

void StoreLink::Observe(site::TablePath path,
                        const site::TableOutcome& outcome) {
  const TimePoint now = runtime::SteadyNow();
  const bool served = site::IsServed(outcome);
  if (!served) metrics_.Count(telemetry::Counter::kStoreErrors);
  if (path == site::TablePath::kStraight) TellReached();
  TellUsable();
  if (!served || now - last_seen_sent_ < kTableSeenInterval) return;
  last_seen_sent_ = now;
  rings_.dispatch.Send(TableSeen{});
}

void StoreLink::TellUsable() {
  const bool usable = client_.usable();
  if (std::exchange(usable_told_, usable) == usable) return;
  rings_.front.Send(TableUsable{usable});
}

void StoreLink::TellReached() {
  const bool reached = client_.reached();
  if (std::exchange(reached_told_, reached) == reached) return;
  rings_.peers.Send(TableReached{reached});
  const TimePoint now = runtime::SteadyNow();
  if (reached) {
    log_.Log(Event::kStoreBack,
             {{"after_ms", ToMilliseconds(now - failing_since_)}});
  } else {
    failing_since_ = now;
    log_.Log(Event::kStoreUnavailable, {{"peer_ready", relay_available_},
                                        {"fault", client_.last_fault()}});
  }
}

}  // namespace jasminespar::jobserver
