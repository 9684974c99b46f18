#include "jasminespar/daemon/peer_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Merges changes that arrive together into one view.
constexpr Duration kViewDelay = 5ms;
constexpr Duration kUpdateRequestInterval = 100ms;

template <typename Endpoint>
Endpoint ToSocketAddress(const configuration::Address& address) {
  return {asio::ip::make_address(address.host), address.port};
}

}  // namespace

PeerLink::PeerLink(runtime::Duty& duty, const PeerLinkSettings& settings,
                   PeerOutputs outputs, telemetry::Metrics& metrics)
    : context_(duty.context()),
      settings_(settings),
      outputs_(outputs),
      metrics_(metrics),
      members_(settings.members, settings.self),
      planner_(settings.ownership, settings.self.id, settings.self.peer,
               settings.incarnation),
      provisional_(membership::ProvisionalSettings{}, settings.self.id,
                   settings.incarnation),
      udp_(context_, ToSocketAddress<udp::endpoint>(settings.listen)),
      acceptor_(context_, ToSocketAddress<tcp::endpoint>(settings.listen)),
      heartbeat_timer_(context_),
      view_timer_(context_) {}

void PeerLink::Start() {
  asio::co_spawn(context_, AcceptPeers(), asio::detached);
  asio::co_spawn(context_, ReceiveHeartbeats(), asio::detached);
  SendHeartbeats();
}

void PeerLink::Handle(ToPeer message) {
  std::visit([this](auto&& alternative) { On(std::move(alternative)); },
             std::move(message));
}

void PeerLink::On(const InstanceListReceived& message) {
  members_.ApplyList(message.instances, runtime::SteadyNow());
  MarkViewDirty();
}

void PeerLink::On(OwnedCellsUpdate message) {
  const bool changed = message.cells.size() != owned_.size();
  owned_ = std::move(message.cells);
  if (changed) SendHeartbeats();
}

void PeerLink::On(const CellsUpdate& message) {
  cells_ = message.cells;
  cell_ids_.clear();
  for (const auto& cell : *message.cells) cell_ids_.push_back(cell.id);
  PlanOwnership();
}

void PeerLink::On(const ConfigurationUpdate& message) {
  if (message.configuration->revision == revision_) return;
  revision_ = message.configuration->revision;
  SendHeartbeats();  // Peers learn the revision at once and request it.
}

void PeerLink::On(const LeaveSite& message) {
  leaving_ = true;
  no_pending_requests_ = no_pending_requests_ || message.no_pending_requests;
  SendHeartbeats();
}

// Without a successor, the calls that wait here would have no owner until their
// deadlines once the cell was released.
bool PeerLink::HasSuccessor(const membership::View& view) const {
  return std::any_of(view.members.begin(), view.members.end(),
                     [&](const membership::Member& member) {
                       return member.id != settings_.self.id &&
                              member.data_centre ==
                                  settings_.self.data_centre &&
                              member.state == membership::MemberState::kLive;
                     });
}

// Heartbeats.

void PeerLink::SendHeartbeats() {
  membership::Heartbeat heartbeat;
  heartbeat.instance = settings_.self.id;
  heartbeat.incarnation = settings_.incarnation;
  heartbeat.sequence = ++sequence_;
  heartbeat.data_centre = settings_.self.data_centre;
  heartbeat.caller = settings_.self.caller;
  heartbeat.peer = settings_.self.peer;
  heartbeat.leaving = leaving_;
  heartbeat.revision = revision_;
  heartbeat.cells = owned_;
  const TimePoint now = runtime::SteadyNow();
  members_.HandleHeartbeat(heartbeat, now);
  const std::string bytes = protocol::Encode(heartbeat);
  for (const membership::Peer& peer : members_.Peers(now)) {
    boost::system::error_code ignored;  // Like a datagram lost on the network.
    udp_.send_to(asio::buffer(bytes),
                 ToSocketAddress<udp::endpoint>(peer.address), 0, ignored);
  }
  PlanOwnership();
  PublishView();
  ScheduleHeartbeat();
}

void PeerLink::ScheduleHeartbeat() {
  heartbeat_timer_.expires_after(settings_.heartbeat_interval);
  heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) SendHeartbeats();
  });
}

asio::awaitable<void> PeerLink::ReceiveHeartbeats() {
  std::vector<char> buffer(protocol::kMaxDatagramBytes);
  while (true) {
    udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t size = co_await udp_.async_receive_from(
        asio::buffer(buffer), sender,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    metrics_.Count(telemetry::Counter::kPeerDatagramsReceived);
    metrics_.Count(telemetry::Counter::kPeerBytesReceived, size);
    try {
      HandleHeartbeat(protocol::DecodeHeartbeat({buffer.data(), size}));
    } catch (const Error&) {
      metrics_.Count(telemetry::Counter::kPeerMessagesDropped);
    }
  }
}

void PeerLink::HandleHeartbeat(const membership::Heartbeat& heartbeat) {
  if (heartbeat.instance == settings_.self.id) return;
  if (!members_.HandleHeartbeat(heartbeat, runtime::SteadyNow())) return;
  MarkViewDirty();
  RequestUpdates(heartbeat);
}

void PeerLink::RequestUpdates(const membership::Heartbeat& heartbeat) {
  const TimePoint now = runtime::SteadyNow();
  const bool wants_notes = heartbeat.revision > revision_;
  const bool wants_workers = cells_ == nullptr;
  if (!(wants_notes || wants_workers) ||
      now - last_update_request_at_ < kUpdateRequestInterval) {
    return;
  }
  last_update_request_at_ = now;
  Outbound* outbound = OutboundTo(heartbeat.instance);
  if (outbound == nullptr) return;
  if (wants_notes) {
    outbound->connection->Send(
        protocol::Encode(protocol::NotesRequest{revision_}));
  }
  if (wants_workers)
    outbound->connection->Send(protocol::Encode(protocol::WorkersRequest{}));
}

// View and ownership.

void PeerLink::MarkViewDirty() {
  if (std::exchange(view_dirty_, true)) return;
  view_timer_.expires_after(kViewDelay);
  view_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && view_dirty_) PublishView();
  });
}

void PeerLink::PublishView() {
  view_dirty_ = false;
  auto view = std::make_shared<const membership::View>(
      members_.ViewAt(runtime::SteadyNow()));
  CloseSuspectedPeers(*view);
  UpdateSuspected(*view);
  const auto owned = static_cast<std::uint32_t>(
      std::count_if(view->cells.begin(), view->cells.end(),
                    [](const membership::CellOwner& cell) {
                      return !cell.owner.value.empty();
                    }));
  if (std::exchange(notified_owner_count_, owned) != owned) {
    outputs_.platform.Send(OwnerCountUpdate{owned});
  }
  outputs_.front.Send(ViewUpdate{std::move(view)});
}

void PeerLink::UpdateSuspected(const membership::View& view) {
  std::set<InstanceId> suspected;
  std::size_t live = 0;
  for (const membership::Member& member : view.members) {
    if (member.id == settings_.self.id) continue;
    if (member.state == membership::MemberState::kLive) ++live;
    if (member.state != membership::MemberState::kSuspected) continue;
    suspected.insert(member.id);
    if (suspected_.contains(member.id)) continue;
    telemetry::LogEvent(telemetry::Event::kPeerSuspected,
                        {{"instance", member.id.value}});
  }
  for (const InstanceId& id : suspected_) {
    if (suspected.contains(id)) continue;
    telemetry::LogEvent(telemetry::Event::kPeerBack, {{"instance", id.value}});
  }
  suspected_ = std::move(suspected);
  metrics_.Set(telemetry::Gauge::kLivePeers, static_cast<double>(live));
}

void PeerLink::PlanOwnership() {
  const TimePoint now = runtime::SteadyNow();
  const membership::View view = members_.ViewAt(now);
  if (leaving_ && (no_pending_requests_ || HasSuccessor(view)))
    planner_.BeginLeave();
  PerformActions(planner_.Plan(view, cell_ids_, now));
  PlanProvisional(view, now);
}

// The candidates are the cells of this data centre that this instance does not
// own durably; used while the store is unavailable and cannot name an owner.
void PeerLink::PlanProvisional(const membership::View& view, TimePoint now) {
  if (cells_ == nullptr || leaving_) return;
  std::vector<membership::ProvisionalCandidate> candidates;
  for (const configuration::CellTopology& cell : *cells_) {
    const bool local =
        configuration::DataCentreOf(cell.id) == settings_.self.data_centre;
    if (!local || planner_.owned_cells().contains(cell.id)) continue;
    membership::ProvisionalCandidate candidate{cell.id, {}, {}};
    for (const configuration::Worker& worker : cell.workers) {
      candidate.workers.push_back(worker.id);
    }
    const membership::CellOwner* owner = view.FindCell(cell.id);
    candidate.row_epoch = worker_epochs_[cell.id];
    if (owner != nullptr) {
      candidate.row_epoch = std::max(candidate.row_epoch, owner->epoch);
    }
    candidates.push_back(std::move(candidate));
  }
  PerformActions(
      provisional_.Plan(view, candidates, planner_.store_down_since(), now));
}

void PeerLink::PerformActions(
    const std::vector<membership::ProvisionalAction>& actions) {
  for (const membership::ProvisionalAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const membership::RequestLeases& request) {
              outputs_.endpoint.Send(
                  LeasesRequested{request.epoch, TopologyOf(request.cell)});
            },
            [&](const membership::ServeProvisionally& serve) {
              outputs_.decider.Send(CellClaimed{serve.cell, serve.epoch, {}});
            },
            [&](const membership::EndProvisional& end) {
              NotifyCellLost(end.cell, end.epoch, Reason::kStaleEpoch);
            },
        },
        action);
  }
}

void PeerLink::On(const LeaseResult& message) {
  Epoch& known = worker_epochs_[message.cell];
  known = std::max(known, message.highest);
  if (message.granted) {
    PerformActions(provisional_.HandleLeaseGranted(message.cell, message.epoch,
                                                   message.worker));
  } else {
    PerformActions(
        provisional_.HandleLeaseRefused(message.cell, message.epoch));
  }
}

configuration::CellTopology PeerLink::TopologyOf(const CellId& cell) const {
  for (const configuration::CellTopology& topology : *cells_) {
    if (topology.id == cell) return topology;
  }
  return {cell, {}};
}

void PeerLink::PerformActions(
    const std::vector<membership::OwnershipAction>& actions) {
  for (const membership::OwnershipAction& action : actions) {
    std::visit(Overloaded{
                   [&](const membership::StartHandover& handover) {
                     outputs_.decider.Send(HandOverCell{handover.cell});
                   },
                   [&](const membership::DropCell& drop) {
                     NotifyCellLost(drop.cell, drop.epoch, Reason::kStaleEpoch);
                   },
                   [&](const membership::ReleaseCell& release) {
                     releasing_[release.cell] = release.row.epoch;
                     outputs_.platform.Send(OwnershipRequested{release});
                   },
                   [&](const auto& store_action) {
                     outputs_.platform.Send(OwnershipRequested{store_action});
                   },
               },
               action);
  }
  owned_cell_count_ = planner_.owned_cells().size();
}

void PeerLink::NotifyCellLost(const CellId& cell, Epoch epoch, Reason reason) {
  outputs_.decider.Send(CellLost{cell, epoch, reason});
  outputs_.platform.Send(JournalCloseRequested{cell, epoch});
}

void PeerLink::On(const OwnershipEvent& message) {
  const TimePoint now = runtime::SteadyNow();
  std::visit(
      Overloaded{
          [&](const OwnershipRowRead& read) {
            PerformActions(planner_.HandleRowRead(read.cell, read.row, now));
          },
          [&](const OwnershipWriteCommitted& committed) {
            planner_.HandleWriteCommitted(committed.cell, committed.version,
                                          now);
          },
          [&](const OwnershipWriteConflicted& conflicted) {
            PerformActions(planner_.HandleWriteConflict(
                conflicted.cell, conflicted.present, now));
          },
          [&](const OwnershipWriteUnknown& unknown) {
            planner_.HandleWriteUnknown(unknown.cell, now);
          },
          [&](const OwnershipRequestFailed& failed) {
            planner_.HandleStoreFailure(failed.cell, now);
          },
          [&](const JournalFenced& fenced) {
            PerformActions(planner_.HandleEpochRefused(fenced.cell, now));
          },
          [&](const HandoverFinished& finished) {
            planner_.HandleHandoverFinished(finished.cell, now);
          },
      },
      message);
  for (auto it = releasing_.begin(); it != releasing_.end();) {
    if (planner_.owned_cells().contains(it->first)) {
      ++it;
      continue;
    }
    NotifyCellLost(it->first, it->second, Reason::kShuttingDown);
    telemetry::LogEvent(telemetry::Event::kHandoverFinished,
                        {{"cell", it->first.value}});
    it = releasing_.erase(it);
  }
  PlanOwnership();
}

}  // namespace jasminespar::daemon
