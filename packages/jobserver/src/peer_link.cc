#include "jasminespar/jobserver/peer_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobs/unsettled_submissions.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using telemetry::Event;

namespace {

constexpr Duration kBeatInterval = 300ms;

/// A peer that was not heard for this long is not asked for anything.
constexpr Duration kSuspectAfter = 1s;

constexpr Duration kConnectTimeout = 500ms;
constexpr Duration kAcceptRetryPause = 50ms;

template <typename Protocol>
typename Protocol::endpoint EndpointOf(const configuration::Address& address) {
  return {asio::ip::make_address(address.host), address.port};
}

}  // namespace

PeerLink::PeerLink(runtime::Duty& duty, InstanceId self,
                   const configuration::Address& address, const Rings& rings,
                   telemetry::Metrics& metrics)
    : duty_(duty),
      self_(std::move(self)),
      address_(address),
      rings_(rings),
      metrics_(metrics),
      log_(rings.telemetry),
      socket_(duty.context(), EndpointOf<udp>(address)),
      acceptor_(duty.context(), EndpointOf<tcp>(address)),
      beat_timer_(duty.context()) {}

void PeerLink::Start() {
  ReceiveBeats();
  asio::co_spawn(duty_.context(), Accept(), asio::detached);
  ScheduleBeat();
}

void PeerLink::Handle(ToPeers message) {
  std::visit([this](auto& alternative) { On(alternative); }, message);
}

void PeerLink::On(const MemberSeen& seen) {
  if (seen.instance == self_) return;
  Peer& peer = peers_[seen.instance];
  if (peer.address == seen.address) return;
  peer.address = seen.address;
  if (peer.connection != nullptr) peer.connection->Close();
}

void PeerLink::On(const TableReached& reached) {
  table_reached_ = reached.reached;
}

void PeerLink::On(RelayWanted& wanted) {
  Peer* peer = ChooseRelay();
  const std::uint64_t number = wanted.number;
  if (peer != nullptr) {
    const protocol::RelayMessage ask =
        protocol::RelayRequest{number, std::move(wanted.request)};
    if (peer->connection->Send(protocol::Encode(ask))) {
      peer->awaiting.insert(number);
      return;
    }
  }
  rings_.store.Send(RelayEnded{number, site::TurnedAway{}});
}

void PeerLink::On(RelayServed& served) {
  const auto found = inbound_.find(served.connection);
  if (found == inbound_.end()) return;  // The asker is gone.
  const protocol::RelayMessage reply =
      protocol::RelayReply{served.number, std::move(served.outcome)};
  if (!found->second->Send(protocol::Encode(reply))) found->second->Close();
}

void PeerLink::On(UnsettledHere& unsettled) {
  unsettled_ = std::move(unsettled.jobs);
  unsettled_at_ = runtime::SteadyNow();
}

void PeerLink::ScheduleBeat() {
  beat_timer_.expires_after(kBeatInterval);
  beat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Beat();
    ScheduleBeat();
  });
}

void PeerLink::Beat() {
  const Duration told = runtime::SteadyNow() - unsettled_at_;
  if (told >= jobs::UnsettledSubmissions::kLateWriteSpan) unsettled_.clear();
  const std::string datagram = protocol::Encode(
      protocol::PeerHeartbeat{self_, address_, table_reached_, unsettled_});
  for (const auto& [instance, peer] : peers_) Send(peer.address, datagram);
  TellAvailability();
}

void PeerLink::Send(const configuration::Address& address,
                    const std::string& datagram) {
  boost::system::error_code error;
  const asio::ip::address host = asio::ip::make_address(address.host, error);
  if (error) return;
  socket_.send_to(asio::buffer(datagram), {host, address.port}, 0, error);
  // A beat that cannot be sent shows at the peer as silence.
  if (!error) metrics_.Count(telemetry::Counter::kPeerDatagramsSent);
}

void PeerLink::ReceiveBeats() {
  socket_.async_receive_from(
      asio::buffer(datagram_), sender_,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (!error) TakeBeat(std::string(datagram_.data(), size));
        ReceiveBeats();
      });
}

void PeerLink::TakeBeat(const std::string& datagram) {
  protocol::PeerHeartbeat beat;
  try {
    beat = protocol::DecodePeerHeartbeat(datagram);
  } catch (const Error&) {
    metrics_.Count(telemetry::Counter::kPeerMessagesDropped);
    return;
  }
  metrics_.Count(telemetry::Counter::kPeerDatagramsReceived);
  if (beat.instance == self_) return;
  On(MemberSeen{beat.instance, beat.address});
  Peer& peer = peers_[beat.instance];
  const TimePoint now = runtime::SteadyNow();
  if (!peer.heard || now - peer.last_heard > kSuspectAfter) {
    log_.Log(Event::kPeerBack, {{"peer", beat.instance.value},
                                {"address", beat.address.host},
                                {"table_reached", beat.table_reached}});
  }
  peer.heard = true;
  peer.last_heard = now;
  peer.table_reached = beat.table_reached;
  TellUnsettled(peer, beat);
  rings_.dispatch.Send(PeerHeard{beat.instance});
  TellAvailability();
}

void PeerLink::TellUnsettled(Peer& peer, protocol::PeerHeartbeat& beat) {
  const bool has_unsettled = !beat.unsettled.empty();
  const bool had_unsettled = std::exchange(peer.has_unsettled, has_unsettled);
  if (!has_unsettled && !had_unsettled) return;
  rings_.front.Send(UnsettledAtPeer{beat.instance, std::move(beat.unsettled)});
}

asio::awaitable<void> PeerLink::Accept() {
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await runtime::Sleep(duty_.context(), kAcceptRetryPause);
      continue;
    }
    const Connection connection = MakeConnection(
        [this](std::uint64_t number, const std::string& body) {
          return TakeAsk(number, body);
        },
        [this](std::uint64_t number) { inbound_.erase(number); });
    inbound_[connection->number()] = connection;
    connection->Adopt(std::move(socket));
  }
}

bool PeerLink::IsRelay(const Peer& peer, TimePoint now) const {
  return peer.heard && peer.table_reached &&
         now - peer.last_heard < kSuspectAfter;
}

PeerLink::Peer* PeerLink::ChooseRelay() {
  const TimePoint now = runtime::SteadyNow();
  // The one after the last, so that a peer that fails is not asked again.
  auto next = peers_.upper_bound(last_relay_);
  for (std::size_t tried = 0; tried < peers_.size(); ++tried, ++next) {
    if (next == peers_.end()) next = peers_.begin();
    if (!IsRelay(next->second, now)) continue;
    Peer& peer = next->second;
    if (peer.connection == nullptr || peer.connection->closed()) {
      peer.connection = Connect(next->first, peer);
    }
    last_relay_ = next->first;
    return &peer;
  }
  return nullptr;
}

void PeerLink::TellAvailability() {
  const TimePoint now = runtime::SteadyNow();
  bool available = false;
  for (const auto& [instance, peer] : peers_) {
    available = available || IsRelay(peer, now);
  }
  if (std::exchange(relay_available_, available) != available) {
    rings_.store.Send(RelayAvailable{available});
  }
}

PeerLink::Connection PeerLink::MakeConnection(
    std::function<bool(std::uint64_t, std::string)> on_frame,
    std::function<void(std::uint64_t)> on_closed) {
  peers::FrameHandlers handlers{std::move(on_frame), std::move(on_closed)};
  return std::make_shared<peers::FrameConnection>(
      duty_.context(), ++last_connection_, std::move(handlers));
}

PeerLink::Connection PeerLink::Connect(const InstanceId& instance, Peer& peer) {
  Connection connection = MakeConnection(
      [this](std::uint64_t, const std::string& body) {
        return TakeReply(body);
      },
      [this, instance](std::uint64_t number) {
        Peer& closed = peers_[instance];
        const bool current = closed.connection != nullptr &&
                             closed.connection->number() == number;
        if (current) FailAwaiting(closed);
      });
  connection->Connect(peer.address, kConnectTimeout);
  return connection;
}

bool PeerLink::TakeReply(const std::string& body) {
  try {
    protocol::RelayMessage message = protocol::DecodeRelayMessage(body);
    auto* reply = std::get_if<protocol::RelayReply>(&message);
    if (reply == nullptr) return false;
    for (auto& [instance, peer] : peers_) peer.awaiting.erase(reply->number);
    rings_.store.Send(RelayEnded{reply->number, std::move(reply->outcome)});
    return true;
  } catch (const Error&) {
    return false;  // Not a peer, or another version.
  }
}

bool PeerLink::TakeAsk(std::uint64_t connection, const std::string& body) {
  try {
    protocol::RelayMessage message = protocol::DecodeRelayMessage(body);
    auto* ask = std::get_if<protocol::RelayRequest>(&message);
    if (ask == nullptr) return false;
    rings_.store.Send(
        ServeRelay{connection, ask->number, std::move(ask->request)});
    return true;
  } catch (const Error&) {
    return false;  // Not a peer, or another version.
  }
}

void PeerLink::FailAwaiting(Peer& peer) {
  for (const std::uint64_t number : std::exchange(peer.awaiting, {})) {
    rings_.store.Send(RelayEnded{number, site::NoAnswer{}});
  }
}

}  // namespace jasminespar::jobserver
