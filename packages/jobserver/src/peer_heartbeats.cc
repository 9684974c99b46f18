/// @file
/// Heartbeats of the peer link: whom they are sent to, what they say, and what
/// the other duties learn from those of the peers.

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <string>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/jobs/unsettled_submissions.h"
#include "jasminespar/jobserver/peer_link.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using telemetry::Event;

namespace {

constexpr Duration kHeartbeatInterval = 300ms;

}  // namespace

void PeerLink::ScheduleHeartbeat() {
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    ScheduleHeartbeat();  // First: an error below must not be the last beat.
    SendHeartbeats();
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
        const std::string datagram(datagram_.data(), error ? 0 : size);
        ReceiveHeartbeats();  // First: one odd datagram must not be the last.
        if (!error) HandleHeartbeat(datagram);
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
  if (!peers_.contains(heartbeat.instance)) {
    metrics_.Count(telemetry::Counter::kPeerMessagesDropped);
    return;
  }
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

}  // namespace jasminespar::jobserver
