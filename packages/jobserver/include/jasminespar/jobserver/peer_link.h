/// @file
/// Duty peer link: signs of life among the instances that serve jobs, and
/// requests to the table for those that cannot reach it.

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

#include "jasminespar/configuration/topology.h"
#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/peers/frame_connection.h"
#include "jasminespar/protocol/relay_message.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Runs on its duty's thread only.
class PeerLink {
 public:
  struct Rings {
    runtime::Channel<PeersToStore>& store;
    runtime::Channel<ToDispatch>& dispatch;
    runtime::Channel<ToFront>& front;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  /// Binds the address, for UDP and for TCP.
  /// @throws std::exception when it cannot be bound.
  PeerLink(runtime::Duty& duty, InstanceId self,
           const configuration::Address& address, const Rings& rings,
           telemetry::Metrics& metrics);

  void Start();
  void Handle(ToPeers message);

 private:
  using Connection = std::shared_ptr<peers::FrameConnection>;

  struct Peer {
    configuration::Address address;
    TimePoint last_heard;
    bool heard = false;
    bool table_reached = false;
    bool has_unsettled = false;        ///< As it last said.
    Connection connection;             ///< Over which this instance asks.
    std::set<std::uint64_t> awaiting;  ///< Asks without a reply.
  };

  void On(const MemberSeen& seen);
  void On(const TableReached& reached);
  void On(RelayWanted& wanted);
  void On(RelayServed& served);
  void On(UnsettledHere& unsettled);

  void ScheduleBeat();
  void Beat();
  void Send(const configuration::Address& address, const std::string& datagram);
  void ReceiveBeats();
  void TakeBeat(const std::string& datagram);
  boost::asio::awaitable<void> Accept();

  [[nodiscard]] Peer* ChooseRelay();
  [[nodiscard]] bool IsRelay(const Peer& peer, TimePoint now) const;
  void TellAvailability();
  void TellUnsettled(Peer& peer, protocol::PeerHeartbeat& beat);
  [[nodiscard]] Connection MakeConnection(
      std::function<bool(std::uint64_t, std::string)> on_frame,
      std::function<void(std::uint64_t)> on_closed);
  [[nodiscard]] Connection Connect(const InstanceId& instance, Peer& peer);
  bool TakeReply(const std::string& body);
  bool TakeAsk(std::uint64_t connection, const std::string& body);
  void FailAwaiting(Peer& peer);

  runtime::Duty& duty_;
  InstanceId self_;
  configuration::Address address_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer beat_timer_;
  std::map<InstanceId, Peer> peers_;
  std::map<std::uint64_t, Connection> inbound_;
  std::uint64_t last_connection_ = 0;
  InstanceId last_relay_;
  std::vector<jobs::JobId> unsettled_;  ///< What peers are told of.
  TimePoint unsettled_at_;
  bool table_reached_ = false;
  bool relay_available_ = false;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 1024> datagram_{};
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_PEER_LINK_H_
