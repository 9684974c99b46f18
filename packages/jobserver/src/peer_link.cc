#include "jasminespar/jobserver/peer_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobs/unsettled_submissions.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/runtime/spawn.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using telemetry::Event;

namespace {

constexpr Duration kHeartbeatInterval = 300ms;

/// A peer without a heartbeat for this long gets no requests to relay.
constexpr Duration kSuspectTimeout = 1s;

constexpr Duration kConnectTimeout = 500ms;
constexpr Duration kAcceptRetryDelay = 50ms;

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
      heartbeat_timer_(duty.context()),
      targets_(self_) {}

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

void PeerLink::ScheduleHeartbeat() {
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    SendHeartbeats();
    ScheduleHeartbeat();
  });
}

void PeerLink::SendHeartbeats() {
  const TimePoint now = runtime::SteadyNow();
  const Duration age = now - unsettled_at_;
  if (age >= jobs::UnsettledSubmissions::kLateWriteTimeout) unsettled_.clear();
  const std::string datagram = EncodeHeartbeat(now);
  for (const InstanceId& instance : ChooseTargets()) {
    Send(peers_.at(instance).address, datagram);
  }
  NotifyAvailability();
  NotifyConfigurations(now);
}

std::vector<InstanceId> PeerLink::ChooseTargets() {
  std::vector<InstanceId> chosen;
  // All peers watch for the silence of the owner. A caller may send a
  // submission again to any of them.
  const bool news_for_all = owns_cell_ || !unsettled_.empty() || had_unsettled_;
  had_unsettled_ = !unsettled_.empty();
  if (news_for_all) {
    for (const auto& [instance, peer] : peers_) chosen.push_back(instance);
    return chosen;
  }
  chosen = targets_.neighbours();
  if (!table_directly_reachable_) {
    // Those that the table serves reply.
    for (InstanceId& peer : targets_.NextSearched()) {
      chosen.push_back(std::move(peer));
    }
  }
  return chosen;
}

std::string PeerLink::EncodeHeartbeat(TimePoint now) {
  protocol::PeerHeartbeat heartbeat;
  heartbeat.instance = self_;
  heartbeat.address = address_;
  heartbeat.table_reached = table_directly_reachable_;
  heartbeat.owns_cell = owns_cell_;
  heartbeat.unsettled = unsettled_;
  heartbeat.configuration = own_configuration_.version;
  heartbeat.watches_configuration = own_configuration_.watches_table;
  heartbeat.configuration_read_time = own_configuration_.read_time;
  if (own_configuration_.confirmed_at) {
    heartbeat.configuration_age = now - *own_configuration_.confirmed_at;
  }
  return protocol::Encode(heartbeat);
}

void PeerLink::Send(const configuration::Address& address,
                    const std::string& datagram) {
  boost::system::error_code error;
  const asio::ip::address host = asio::ip::make_address(address.host, error);
  if (error) return;
  socket_.send_to(asio::buffer(datagram), {host, address.port}, 0, error);
  // A failure needs no handling: the peer misses the heartbeat.
  if (!error) metrics_.Count(telemetry::Counter::kPeerDatagramsSent);
}

void PeerLink::ReceiveHeartbeats() {
  socket_.async_receive_from(
      asio::buffer(datagram_), sender_,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (!error) HandleHeartbeat(std::string(datagram_.data(), size));
        ReceiveHeartbeats();
      });
}

void PeerLink::HandleHeartbeat(const std::string& datagram) {
  protocol::PeerHeartbeat heartbeat;
  try {
    heartbeat = protocol::DecodePeerHeartbeat(datagram);
  } catch (const Error&) {
    metrics_.Count(telemetry::Counter::kPeerMessagesDropped);
    return;
  }
  metrics_.Count(telemetry::Counter::kPeerDatagramsReceived);
  if (heartbeat.instance == self_) return;
  On(MemberAddress{heartbeat.instance, heartbeat.address});
  Peer& peer = peers_[heartbeat.instance];
  const TimePoint now = runtime::SteadyNow();
  if (!peer.heartbeat_received ||
      now - peer.last_heartbeat_at > kSuspectTimeout) {
    log_.Log(Event::kPeerBack, {{"peer", heartbeat.instance.value},
                                {"address", heartbeat.address.host},
                                {"table_reached", heartbeat.table_reached}});
  }
  peer.heartbeat_received = true;
  peer.last_heartbeat_at = now;
  peer.table_directly_reachable = heartbeat.table_reached;
  RecordConfiguration(peer, heartbeat, now);
  NotifyUnsettled(peer, heartbeat);
  if (heartbeat.owns_cell) {
    rings_.dispatch.Send(OwnerHeartbeatReceived{heartbeat.instance});
  }
  // It looks for a peer that can relay its requests.
  if (!heartbeat.table_reached && table_directly_reachable_) {
    Send(peer.address, EncodeHeartbeat(now));
  }
  NotifyAvailability();
}

void PeerLink::NotifyUnsettled(Peer& peer, protocol::PeerHeartbeat& heartbeat) {
  const bool has_unsettled = !heartbeat.unsettled.empty();
  const bool had_unsettled = std::exchange(peer.has_unsettled, has_unsettled);
  if (!has_unsettled && !had_unsettled) return;
  rings_.front.Send(PeerUnsettledSubmissions{heartbeat.instance,
                                             std::move(heartbeat.unsettled)});
}

void PeerLink::RecordConfiguration(Peer& peer,
                                   const protocol::PeerHeartbeat& heartbeat,
                                   TimePoint now) {
  jobs::PeerConfiguration& known = peer.configuration;
  known.instance = heartbeat.instance;
  known.version = heartbeat.configuration;
  known.watches_table = heartbeat.watches_configuration;
  known.read_time = heartbeat.configuration_read_time;
  known.confirmed_at.reset();
  if (heartbeat.configuration_age >= Duration{}) {
    known.confirmed_at = now - heartbeat.configuration_age;
  }
  // The other news of the peers waits for this instance's own heartbeat.
  if (known.version > newest_at_peers_) NotifyConfigurations(now);
}

void PeerLink::NotifyConfigurations(TimePoint now) {
  PeerConfigurations all;
  newest_at_peers_ = {};
  for (const auto& [instance, peer] : peers_) {
    if (!peer.heartbeat_received) continue;
    if (now - peer.last_heartbeat_at > kSuspectTimeout) continue;
    newest_at_peers_ = std::max(newest_at_peers_, peer.configuration.version);
    all.peers.push_back(peer.configuration);
  }
  rings_.configuration.Send(std::move(all));
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
    const Connection connection = MakeConnection(
        [this](std::uint64_t number, const std::string& body) {
          return HandleRequest(number, body);
        },
        [this](std::uint64_t number) { inbound_.erase(number); });
    inbound_[connection->number()] = connection;
    connection->Adopt(std::move(socket));
  }
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
    std::function<bool(std::uint64_t, std::string)> on_frame,
    std::function<void(std::uint64_t)> on_closed) {
  peers::FrameHandlers handlers{std::move(on_frame), std::move(on_closed)};
  return std::make_shared<peers::FrameConnection>(
      duty_.context(), ++last_connection_, std::move(handlers));
}

PeerLink::Connection PeerLink::Connect(const InstanceId& instance, Peer& peer) {
  Connection connection = MakeConnection(
      [this, instance](std::uint64_t, const std::string& body) {
        return HandleReply(instance, body);
      },
      [this, instance](std::uint64_t number) {
        Peer& closed = peers_[instance];
        const bool current = closed.connection != nullptr &&
                             closed.connection->number() == number;
        if (current) FailPendingRequests(closed);
      });
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
