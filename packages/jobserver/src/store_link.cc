#include "jasminespar/jobserver/store_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/protocol/job_peer_message.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/runtime/spawn.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using telemetry::Event;

namespace {

/// For the peer's own attempt and the route to it; a watch adds its own wait.
constexpr Duration kRelayTimeout = 1600ms;

constexpr Duration kRetryDelay = 100ms;

/// For all attempts of one read, or of one write of the member row.
constexpr Duration kAttemptsTimeout = 2s;

/// Shortest time between two TableAnswered messages.
constexpr Duration kTableAnsweredInterval = 300ms;

}  // namespace

StoreLink::StoreLink(runtime::Duty& duty,
                     const site::TableClientSettings& settings,
                     const MemberAddress& self, const site::SiteCodec& codec,
                     const Rings& rings, telemetry::Metrics& metrics)
    : duty_(duty),
      self_(self),
      codec_(codec),
      rings_(rings),
      metrics_(metrics),
      log_(rings.telemetry),
      relay_replies_(duty.context(), 0),
      client_(duty.context(), settings, codec.table,
              {[this] { return relay_available_; },
               [this](site::TableRequest request) {
                 return SendThroughPeer(std::move(request));
               },
               [this](site::TablePath path, const site::TableOutcome& outcome) {
                 RecordOutcome(path, outcome);
               }}) {}

void StoreLink::Start() {
  unreachable_since_ = runtime::SteadyNow();
  WatchStatuses();
  WatchOwner();
  WatchMembers();
  runtime::SpawnPersistent(duty_.context(),
                           [this] { return RegisterMember(); });
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
          [this](BeginOwnership& begin) {
            owned_epoch_ = begin.epoch;
            runtime::SpawnPersistent(
                duty_.context(),
                [this, epoch = begin.epoch] { return Load(epoch); });
            if (begin.evacuate_within == Duration{}) return;
            runtime::SpawnPersistent(
                duty_.context(),
                [this, epoch = begin.epoch,
                 interval = jobs::EvacuationsInterval(begin.evacuate_within)] {
                  return ReadEvacuations(epoch, interval);
                });
          },
          [this](EndOwnership&) { owned_epoch_.reset(); },
      },
      message);
}

void StoreLink::HandleConfiguration(ConfigurationToStore message) {
  std::visit(Overloaded{[this](ConfigurationReadEnded& read) {
               client_.RecordDirectOutcome(read.outcome, read.error);
             }},
             message);
}

void StoreLink::HandlePeers(PeersToStore message) {
  std::visit(Overloaded{
                 [this](ServePeerRequest& serve) {
                   asio::co_spawn(duty_.context(), Serve(std::move(serve)),
                                  asio::detached);
                 },
                 [this](RelayCompleted& completed) {
                   relay_replies_.Complete(completed.number,
                                           std::move(completed.outcome));
                 },
                 [this](const RelayAvailable& relay) {
                   relay_available_ = relay.available;
                   NotifyReachability();
                 },
             },
             message);
}

asio::awaitable<void> StoreLink::Serve(ServePeerRequest request) {
  site::TableOutcome outcome =
      co_await client_.SendDirect(std::move(request.request));
  rings_.peers.Send(PeerRequestServed{request.connection, request.number,
                                      std::move(outcome)});
}

asio::awaitable<site::TableOutcome> StoreLink::SendThroughPeer(
    site::TableRequest request) {
  const auto* watch = std::get_if<site::Watch>(&request);
  const Duration timeout =
      kRelayTimeout + (watch == nullptr ? Duration{} : watch->wait);
  const std::uint64_t number = relay_replies_.Register();
  rings_.peers.Send(SendRelayRequest{number, std::move(request)});
  std::optional<site::TableOutcome> outcome =
      co_await relay_replies_.Wait(number, timeout);
  if (!outcome) outcome = site::NoAnswer{};
  co_return *std::move(outcome);
}

asio::awaitable<void> StoreLink::RegisterMember() {
  site::Transaction transaction;
  transaction.writes.push_back(
      {CellRowKey(kMemberTable, self_.instance.value),
       protocol::Encode(protocol::MemberRow{self_.instance, self_.address}),
       {}});
  while (true) {
    site::Transaction copy = transaction;
    const site::TableOutcome outcome = co_await client_.Transact(
        std::move(copy), kAttemptsTimeout, kAttemptsTimeout);
    if (std::holds_alternative<site::Committed>(outcome)) co_return;
    co_await runtime::Sleep(duty_.context(), kRetryDelay);
  }
}

asio::awaitable<void> StoreLink::Write(WriteRows request, bool for_front) {
  const TimePoint begun = runtime::SteadyNow();
  site::TableOutcome outcome = co_await client_.Transact(
      std::move(request.transaction), request.timeout, request.refused_timeout);
  metrics_.Observe(telemetry::Timing::kStoreRequest,
                   runtime::SteadyNow() - begun);
  WriteCompleted completed{request.number, std::move(outcome)};
  if (for_front) {
    rings_.front.Send(std::move(completed));
  } else {
    rings_.dispatch.Send(std::move(completed));
  }
}

asio::awaitable<void> StoreLink::Read(ReadRow request) {
  site::RowRange range{request.key.table, request.key.partition,
                       request.key.key, request.key.key + '\0'};
  site::TableOutcome outcome =
      co_await client_.ReadAll(std::move(range), kAttemptsTimeout);
  rings_.front.Send(ReadCompleted{request.number, std::move(outcome)});
}

void StoreLink::RecordOutcome(site::TablePath path,
                              const site::TableOutcome& outcome) {
  const TimePoint now = runtime::SteadyNow();
  const bool served = site::IsServed(outcome);
  if (!served) metrics_.Count(telemetry::Counter::kStoreErrors);
  if (path == site::TablePath::kDirect) NotifyDirectReachability();
  NotifyReachability();
  if (!served || now - last_answer_notified_at_ < kTableAnsweredInterval) {
    return;
  }
  last_answer_notified_at_ = now;
  rings_.dispatch.Send(TableAnswered{});
}

void StoreLink::NotifyReachability() {
  const bool reachable = client_.reachable();
  if (std::exchange(notified_reachable_, reachable) == reachable) return;
  rings_.front.Send(TableReachable{reachable});
}

void StoreLink::NotifyDirectReachability() {
  const bool reachable = client_.directly_reachable();
  if (std::exchange(notified_directly_reachable_, reachable) == reachable) {
    return;
  }
  rings_.peers.Send(TableDirectlyReachable{reachable});
  const TimePoint now = runtime::SteadyNow();
  if (reachable) {
    log_.Log(Event::kStoreBack,
             {{"after_ms", ToMilliseconds(now - unreachable_since_)}});
  } else {
    unreachable_since_ = now;
    log_.Log(Event::kStoreUnavailable, {{"peer_ready", relay_available_},
                                        {"fault", client_.last_error()}});
  }
}

}  // namespace jasminespar::jobserver
