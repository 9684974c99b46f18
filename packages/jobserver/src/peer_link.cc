#include "jasminespar/jobserver/peer_link.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/runtime/spawn.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr Duration kConnectTimeout = 500ms;
constexpr Duration kAcceptRetryDelay = 50ms;

template <typename Protocol>
typename Protocol::endpoint EndpointOf(const configuration::Address& address) {
  return {asio::ip::make_address(address.host), address.port};
}

}  // namespace

PeerLink::PeerLink(runtime::Duty& duty, InstanceId self,
                   const configuration::Address& address,
                   const PeerLimits& limits, const Rings& rings,
                   telemetry::Metrics& metrics)
    : duty_(duty),
      self_(std::move(self)),
      address_(address),
      rings_(rings),
      metrics_(metrics),
      log_(rings.telemetry),
      socket_(duty.context(), EndpointOf<udp>(address)),
      acceptor_(duty.context(), EndpointOf<tcp>(address)),
      heartbeat_timer_(duty.context()),
      targets_(self_),
      limits_(limits),
      budget_(limits.budget) {}

void PeerLink::Start() {
  ReceiveHeartbeats();
  runtime::SpawnPersistent(duty_.context(), [this] { return Accept(); });
  ScheduleHeartbeat();
}

void PeerLink::Handle(ToPeers message) {
  std::visit([this](auto& alternative) { On(alternative); }, message);
}

void PeerLink::On(const MemberAddress& member) {
  if (member.instance == self_) return;
  const bool known = peers_.contains(member.instance);
  if (!known && peers_.size() >= kMaxPeers) return;
  targets_.Add(member.instance);
  Peer& peer = peers_[member.instance];
  if (peer.address == member.address) return;
  peer.address = member.address;
  if (peer.connection != nullptr) peer.connection->Close();
}

void PeerLink::On(const TableDirectlyReachable& table) {
  table_directly_reachable_ = table.reachable;
}

void PeerLink::On(SendRelayRequest& request) {
  Peer* peer = ChooseRelay();
  const std::uint64_t number = request.number;
  if (peer != nullptr) {
    const protocol::JobPeerMessage message =
        protocol::RelayRequest{number, std::move(request.request)};
    if (peer->connection->Send(protocol::Encode(message))) {
      peer->pending_requests.insert(number);
      return;
    }
  }
  rings_.store.Send(RelayCompleted{number, site::Refused{}});
}

void PeerLink::On(PeerRequestServed& served) {
  const auto found = inbound_.find(served.connection);
  if (found == inbound_.end()) return;  // The peer has closed its connection.
  const protocol::JobPeerMessage reply =
      protocol::RelayReply{served.number, std::move(served.outcome)};
  if (!found->second->Send(protocol::Encode(reply))) found->second->Close();
}

void PeerLink::On(OwnUnsettledSubmissions& unsettled) {
  unsettled_ = std::move(unsettled.jobs);
  unsettled_at_ = runtime::SteadyNow();
}

void PeerLink::On(const CellOwned& cell) { owns_cell_ = cell.owned; }

void PeerLink::On(const OwnConfiguration& own) {
  const bool newer = own.version > own_configuration_.version;
  own_configuration_ = own;
  // Peers that wait for this version learn of it at once.
  if (newer) SendHeartbeats();
}

void PeerLink::On(const AskPeerForConfiguration& ask) {
  const auto found = peers_.find(ask.peer);
  if (found == peers_.end()) return;
  const protocol::JobPeerMessage message =
      protocol::ConfigurationRequest{ask.held};
  const Connection connection = ConnectionTo(found->first, found->second);
  if (!connection->Send(protocol::Encode(message))) connection->Close();
}

void PeerLink::On(const SendConfiguration& send) {
  const auto found = inbound_.find(send.connection);
  if (found == inbound_.end()) return;  // The peer has closed its connection.
  if (!found->second->Send(*send.message)) found->second->Close();
}

asio::awaitable<void> PeerLink::Accept() {
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await runtime::Sleep(duty_.context(), kAcceptRetryDelay);
      continue;
    }
    TakeInbound(std::move(socket));
  }
}

void PeerLink::TakeInbound(tcp::socket socket) {
  const TimePoint now = runtime::SteadyNow();
  peers::FrameHandlers handlers;
  handlers.on_frame = [this](std::uint64_t number, const std::string& body) {
    return HandleRequest(number, body);
  };
  handlers.on_closed = [this](std::uint64_t number) {
    inbound_.erase(number);
    budget_.Close(number);
  };
  handlers.on_held = [this](std::uint64_t number) { UpdateHeld(number); };
  peers::FrameLimits limits;
  limits.max_frame_bytes = limits_.max_request_bytes;
  limits.max_unsent_bytes = limits_.max_request_bytes;
  const Connection connection = MakeConnection(std::move(handlers), limits);
  budget_.Open(connection->number(), now);
  if (budget_.OverConnections()) {
    const auto oldest = budget_.ChooseOldest(connection->number(), now);
    if (!oldest) {
      budget_.Close(connection->number());
      metrics_.CountRefusal(Reason::kConnectionLimit);
      return;
    }
    EndInbound(*oldest, Reason::kConnectionLimit);
  }
  inbound_[connection->number()] = connection;
  connection->Adopt(std::move(socket));
}

void PeerLink::UpdateHeld(std::uint64_t connection) {
  const auto found = inbound_.find(connection);
  if (found == inbound_.end() || found->second->closed()) return;
  const std::size_t read = found->second->read_bytes();
  const std::size_t unsent = found->second->unsent_bytes();
  const clients::Phase phase = unsent > 0 ? clients::Phase::kWriting
                               : read > 0 ? clients::Phase::kReading
                                          : clients::Phase::kIdle;
  const TimePoint now = runtime::SteadyNow();
  // A body that is read grows by copying itself into twice the room.
  budget_.Update(connection, phase, 2 * read + unsent, now);
  if (budget_.held_bytes() <= budget_.limits().max_bytes) return;
  for (const std::uint64_t chosen : budget_.ChooseOverBudget(now)) {
    EndInbound(chosen, Reason::kMemoryLimit);
  }
}

void PeerLink::EndInbound(std::uint64_t connection, Reason reason) {
  metrics_.CountRefusal(reason);
  const auto found = inbound_.find(connection);
  if (found != inbound_.end()) found->second->Close();
}

bool PeerLink::CanRelay(const Peer& peer, TimePoint now) const {
  return peer.heartbeat_received && peer.table_directly_reachable &&
         now - peer.last_heartbeat_at < kSuspectTimeout;
}

PeerLink::Peer* PeerLink::ChooseRelay() {
  const TimePoint now = runtime::SteadyNow();
  // Starts behind the peer chosen last, so that a failing peer is not chosen
  // again at once.
  auto next = peers_.upper_bound(last_relay_);
  for (std::size_t tried = 0; tried < peers_.size(); ++tried, ++next) {
    if (next == peers_.end()) next = peers_.begin();
    if (!CanRelay(next->second, now)) continue;
    static_cast<void>(ConnectionTo(next->first, next->second));
    last_relay_ = next->first;
    return &next->second;
  }
  return nullptr;
}

PeerLink::Connection PeerLink::ConnectionTo(const InstanceId& instance,
                                            Peer& peer) {
  if (peer.connection == nullptr || peer.connection->closed()) {
    peer.connection = Connect(instance, peer);
  }
  return peer.connection;
}

void PeerLink::NotifyAvailability() {
  const TimePoint now = runtime::SteadyNow();
  bool available = false;
  for (const auto& [instance, peer] : peers_) {
    available = available || CanRelay(peer, now);
  }
  if (std::exchange(relay_available_, available) != available) {
    rings_.store.Send(RelayAvailable{available});
  }
}

PeerLink::Connection PeerLink::MakeConnection(
    peers::FrameHandlers handlers, const peers::FrameLimits& limits) {
  return std::make_shared<peers::FrameConnection>(
      duty_.context(), ++last_connection_, std::move(handlers), limits);
}

PeerLink::Connection PeerLink::Connect(const InstanceId& instance, Peer& peer) {
  peers::FrameHandlers handlers;
  handlers.on_frame = [this, instance](std::uint64_t, const std::string& body) {
    return HandleReply(instance, body);
  };
  handlers.on_closed = [this, instance](std::uint64_t number) {
    Peer& closed = peers_[instance];
    const bool current =
        closed.connection != nullptr && closed.connection->number() == number;
    if (current) FailPendingRequests(closed);
  };
  Connection connection = MakeConnection(std::move(handlers), {});
  connection->Connect(peer.address, kConnectTimeout);
  return connection;
}

bool PeerLink::HandleReply(const InstanceId& peer, const std::string& body) {
  try {
    protocol::JobPeerMessage message = protocol::DecodeJobPeerMessage(body);
    return std::visit(Overloaded{
                          [this](protocol::RelayReply& reply) {
                            for (auto& [instance, other] : peers_) {
                              other.pending_requests.erase(reply.number);
                            }
                            rings_.store.Send(RelayCompleted{
                                reply.number, std::move(reply.outcome)});
                            return true;
                          },
                          [this, &peer](protocol::ConfigurationReply& reply) {
                            rings_.configuration.Send(PeerConfigurationReceived{
                                peer, std::move(reply)});
                            return true;
                          },
                          [](const auto& /*request*/) { return false; },
                      },
                      message);
  } catch (const Error&) {
    return false;  // Not a peer, or one with another protocol version.
  }
}

bool PeerLink::HandleRequest(std::uint64_t connection,
                             const std::string& body) {
  try {
    protocol::JobPeerMessage message = protocol::DecodeJobPeerMessage(body);
    return std::visit(
        Overloaded{
            [this, connection](protocol::RelayRequest& request) {
              rings_.store.Send(ServePeerRequest{connection, request.number,
                                                 std::move(request.request)});
              return true;
            },
            [this, connection](const protocol::ConfigurationRequest& request) {
              rings_.configuration.Send(
                  PeerAsksForConfiguration{connection, request.held});
              return true;
            },
            [](const auto& /*reply*/) { return false; },
        },
        message);
  } catch (const Error&) {
    return false;  // Not a peer, or one with another protocol version.
  }
}

void PeerLink::FailPendingRequests(Peer& peer) {
  for (const std::uint64_t number : std::exchange(peer.pending_requests, {})) {
    rings_.store.Send(RelayCompleted{number, site::NoAnswer{}});
  }
}

}  // namespace jasminespar::jobserver
