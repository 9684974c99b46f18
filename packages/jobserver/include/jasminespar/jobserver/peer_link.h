/// @file
/// Duty peer link: heartbeats among the instances that serve jobs (UDP),
/// requests to the table relayed for instances that cannot reach it, and
/// changes of the configuration (TCP).

#ifndef JASMINESPAR_JOBSERVER_PEER_LINK_H_
#define JASMINESPAR_JOBSERVER_PEER_LINK_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jasminespar/clients/client_budget.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/jobs/heartbeat_targets.h"
#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/peers/frame_connection.h"
#include "jasminespar/protocol/job_peer_message.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// A peer without a heartbeat for this long gets no requests to relay.
inline constexpr Duration kSuspectTimeout = 1s;

/// A longer UDP datagram does not exist.
inline constexpr std::size_t kMaxDatagramBytes = 65'536;

/// What others may make the peers' port hold.
struct PeerLimits {
  clients::BudgetLimits budget;
  std::size_t max_request_bytes = 4U << 20;  ///< Of one request of a peer.
};

/// Instances heard of beyond this number are not taken note of.
inline constexpr std::size_t kMaxPeers = 4096;

/// Runs on its duty's thread only.
class PeerLink {
 public:
  struct Rings {
    runtime::Channel<PeersToStore>& store;
    runtime::Channel<ToDispatch>& dispatch;
    runtime::Channel<ToFront>& front;
    runtime::Channel<ToConfiguration>& configuration;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  /// Binds the address, for UDP and for TCP.
  /// @throws std::exception when it cannot be bound.
  PeerLink(runtime::Duty& duty, InstanceId self,
           const configuration::Address& address, const PeerLimits& limits,
           const Rings& rings, telemetry::Metrics& metrics);

  void Start();
  void Handle(ToPeers message);

 private:
  using Connection = std::shared_ptr<peers::FrameConnection>;

  struct Peer {
    configuration::Address address;
    TimePoint last_heartbeat_at;
    bool heartbeat_received = false;
    bool table_directly_reachable = false;  ///< From its last heartbeat.
    bool has_unsettled = false;             ///< From its last heartbeat.
    jobs::PeerConfiguration configuration;  ///< From its last heartbeat.
    Connection connection;  ///< For requests from this instance.
    std::set<std::uint64_t> pending_requests;  ///< Without a reply.
  };

  void On(const MemberAddress& member);
  void On(const TableDirectlyReachable& table);
  void On(SendRelayRequest& request);
  void On(PeerRequestServed& served);
  void On(OwnUnsettledSubmissions& unsettled);
  void On(const CellOwned& cell);
  void On(const OwnConfiguration& own);
  void On(const AskPeerForConfiguration& ask);
  void On(const SendConfiguration& send);

  void ScheduleHeartbeat();
  /// Sends heartbeats to those peers that need this instance's news.
  void SendHeartbeats();
  /// @return the peers of the heartbeats that are due now.
  [[nodiscard]] std::vector<InstanceId> ChooseTargets();
  [[nodiscard]] std::string EncodeHeartbeat(TimePoint now);
  void Send(const configuration::Address& address, const std::string& datagram);
  void ReceiveHeartbeats();
  void HandleHeartbeat(const std::string& datagram);
  boost::asio::awaitable<void> Accept();
  /// Takes a connection of a peer, in place of an idle one if there are many.
  void TakeInbound(boost::asio::ip::tcp::socket socket);
  /// Records what a connection of a peer holds, and ends some if all hold too
  /// much.
  void UpdateHeld(std::uint64_t connection);
  void EndInbound(std::uint64_t connection, Reason reason);

  /// Rotates among the peers that can relay and opens a connection if needed.
  /// @return null if no peer can relay.
  [[nodiscard]] Peer* ChooseRelay();
  [[nodiscard]] bool CanRelay(const Peer& peer, TimePoint now) const;
  void NotifyAvailability();
  void NotifyUnsettled(Peer& peer, protocol::PeerHeartbeat& heartbeat);
  void RecordConfiguration(Peer& peer, const protocol::PeerHeartbeat& heartbeat,
                           TimePoint now);
  void NotifyConfigurations(TimePoint now);
  /// Opens a connection if there is none.
  [[nodiscard]] Connection ConnectionTo(const InstanceId& instance, Peer& peer);
  [[nodiscard]] Connection MakeConnection(peers::FrameHandlers handlers,
                                          const peers::FrameLimits& limits);
  [[nodiscard]] Connection Connect(const InstanceId& instance, Peer& peer);
  /// @return false to close the connection.
  bool HandleReply(const InstanceId& peer, const std::string& body);
  /// @return false to close the connection.
  bool HandleRequest(std::uint64_t connection, const std::string& body);
  void FailPendingRequests(Peer& peer);

  runtime::Duty& duty_;
  InstanceId self_;
  configuration::Address address_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer heartbeat_timer_;
  std::map<InstanceId, Peer> peers_;
  jobs::HeartbeatTargets targets_;
  std::map<std::uint64_t, Connection> inbound_;
  PeerLimits limits_;
  clients::ClientBudget budget_;  ///< Of the connections in inbound_.
  std::uint64_t last_connection_ = 0;
  InstanceId last_relay_;
  std::vector<jobs::JobId> unsettled_;  ///< Sent to peers with each heartbeat.
  TimePoint unsettled_at_;
  OwnConfiguration own_configuration_;
  Revision newest_at_peers_;  ///< Configuration.
  bool table_directly_reachable_ = false;
  bool owns_cell_ = false;
  bool had_unsettled_ = false;  ///< In the last heartbeats.
  bool relay_available_ = false;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> datagram_{};
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_PEER_LINK_H_
