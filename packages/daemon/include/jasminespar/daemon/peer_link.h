/// @file
/// Duty peer_link: all traffic between instances: heartbeats (UDP), and
/// forwarded calls and configuration (TCP). Also plans ownership of cells.

#ifndef JASMINESPAR_DAEMON_PEER_LINK_H_
#define JASMINESPAR_DAEMON_PEER_LINK_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "jasminespar/daemon/duty_messages.h"
#include "jasminespar/membership/member_table.h"
#include "jasminespar/membership/ownership.h"
#include "jasminespar/membership/provisional.h"
#include "jasminespar/peers/frame_connection.h"
#include "jasminespar/runtime/channel.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

struct PeerLinkSettings {
  membership::ListedInstance self;  ///< As advertised.
  configuration::Address listen;    ///< Bound for UDP and TCP.
  std::uint64_t incarnation = 0;
  Duration heartbeat_interval = 200ms;
  Duration connect_timeout = 1s;
  membership::MemberSettings members;
  membership::OwnershipSettings ownership;
};

struct PeerOutputs {
  runtime::Channel<ToFront>& front;
  runtime::Channel<ToDecider>& decider;
  runtime::Channel<ToPlatform>& platform;
  runtime::Channel<ToEndpoint>& endpoint;
};

/// Runs on its duty's thread only, unless stated otherwise.
class PeerLink {
 public:
  /// Binds the address, for UDP and for TCP.
  /// @throws std::exception when it cannot be bound.
  PeerLink(runtime::Duty& duty, const PeerLinkSettings& settings,
           PeerOutputs outputs, telemetry::Metrics& metrics);

  void Start();
  void Handle(ToPeer message);

  /// Callable from any thread.
  [[nodiscard]] std::size_t owned_cell_count() const noexcept {
    return owned_cell_count_;
  }

 private:
  using ConnectionPtr = std::shared_ptr<peers::FrameConnection>;

  /// Connection to one peer and the calls without a reply on it.
  struct Outbound {
    ConnectionPtr connection;
    std::set<std::uint64_t> pending_calls;
  };

  void On(CallForwarded message);
  void On(const ForwardAbandoned& message);
  void On(ForwardedCallReplied message);
  void On(OwnedCellsUpdate message);
  void On(const InstanceListReceived& message);
  void On(const OwnershipEvent& message);
  void On(PeerNotesFound message);
  void On(const CellsUpdate& message);
  void On(const ConfigurationUpdate& message);
  void On(const LeaseResult& message);
  void On(const LeaveSite& message);

  void HandlePeerMessage(std::uint64_t connection,
                         protocol::PeerMessage message);
  void HandleForwardedCall(std::uint64_t connection,
                           protocol::ForwardedCall call);
  void SendWorkers(std::uint64_t connection);
  void HandleConnectionClosed(std::uint64_t connection);
  /// Opens a connection to the instance if none is open.
  /// @return null when the instance is not a known member.
  [[nodiscard]] Outbound* OutboundTo(const InstanceId& instance);
  /// Replies kOwnerUnreachable to the calls without a reply.
  void FailPendingCalls(Outbound& outbound);
  void CloseSuspectedPeers(const membership::View& view);

  boost::asio::awaitable<void> AcceptPeers();
  boost::asio::awaitable<void> ReceiveHeartbeats();
  void HandleHeartbeat(const membership::Heartbeat& heartbeat);
  /// Sends a heartbeat to every peer, plans ownership, publishes the view and
  /// schedules the next heartbeat.
  void SendHeartbeats();
  void ScheduleHeartbeat();
  /// Requests notes from a peer with a higher revision, and the workers while
  /// none are known.
  void RequestUpdates(const membership::Heartbeat& heartbeat);

  /// Publishes the view after a short delay.
  void MarkViewDirty();
  void PublishView();
  /// Logs peers that became suspected or live again.
  void UpdateSuspected(const membership::View& view);
  void PlanOwnership();
  [[nodiscard]] bool HasSuccessor(const membership::View& view) const;
  void PerformActions(const std::vector<membership::OwnershipAction>& actions);
  void PlanProvisional(const membership::View& view, TimePoint now);
  void PerformActions(
      const std::vector<membership::ProvisionalAction>& actions);
  [[nodiscard]] configuration::CellTopology TopologyOf(
      const CellId& cell) const;
  void NotifyCellLost(const CellId& cell, Epoch epoch, Reason reason);
  [[nodiscard]] ConnectionPtr MakeConnection();

  boost::asio::io_context& context_;
  PeerLinkSettings settings_;
  PeerOutputs outputs_;
  telemetry::Metrics& metrics_;
  membership::MemberTable members_;
  membership::OwnershipPlanner planner_;
  membership::ProvisionalPlanner provisional_;
  CellsPtr cells_;  // Null until workers are known.
  std::vector<CellId> cell_ids_;
  std::vector<membership::OwnedCell> owned_;
  std::map<CellId, Epoch> worker_epochs_;  // Highest known to workers.
  std::map<CellId, Epoch> releasing_;      // Rows being released.
  Revision revision_;
  std::uint64_t sequence_ = 0;
  bool leaving_ = false;
  bool no_pending_requests_ = false;  // From LeaveSite.
  bool view_dirty_ = false;
  TimePoint last_update_request_at_;
  std::uint32_t notified_owner_count_ = 0;
  std::set<InstanceId> suspected_;
  std::atomic<std::size_t> owned_cell_count_{0};

  std::uint64_t last_connection_ = 0;
  std::map<std::uint64_t, ConnectionPtr> inbound_;
  std::map<InstanceId, Outbound> outbound_;

  boost::asio::ip::udp::socket udp_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer view_timer_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_PEER_LINK_H_
