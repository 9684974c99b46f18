/// @file
/// TCP connections of peer_link: calls and requests to peers, and from peers.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/daemon/peer_link.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;
using asio::ip::tcp;

// Connections to peers.

PeerLink::ConnectionPtr PeerLink::MakeConnection() {
  peers::FrameHandlers handlers;
  handlers.on_frame = [this](std::uint64_t connection,
                             const std::string& body) {
    try {
      HandlePeerMessage(connection, protocol::DecodePeerMessage(body));
      return true;
    } catch (const Error&) {
      return false;  // Not a peer, or a peer of another version.
    }
  };
  handlers.on_closed = [this](std::uint64_t connection) {
    HandleConnectionClosed(connection);
  };
  return std::make_shared<peers::FrameConnection>(context_, ++last_connection_,
                                                  std::move(handlers));
}

PeerLink::Outbound* PeerLink::OutboundTo(const InstanceId& instance) {
  Outbound& outbound = outbound_[instance];
  if (outbound.connection != nullptr && !outbound.connection->closed()) {
    return &outbound;
  }
  FailPendingCalls(outbound);
  const membership::View view = members_.ViewAt(runtime::SteadyNow());
  const membership::Member* member = view.FindMember(instance);
  if (member == nullptr) {
    outbound_.erase(instance);
    return nullptr;
  }
  outbound.connection = MakeConnection();
  outbound.connection->Connect(member->peer, settings_.connect_timeout);
  return &outbound;
}

void PeerLink::On(CallForwarded message) {
  const std::uint64_t number = message.call.number;
  Outbound* outbound = OutboundTo(message.owner);
  if (outbound != nullptr &&
      outbound->connection->Send(protocol::Encode(std::move(message.call)))) {
    outbound->pending_calls.insert(number);
    return;
  }
  Refusal refusal;
  refusal.reason = Reason::kOwnerUnreachable;
  outputs_.front.Send(CallReplied{number, refusal});
}

void PeerLink::On(const ForwardAbandoned& message) {
  const auto found = outbound_.find(message.owner);
  if (found == outbound_.end()) return;
  if (found->second.pending_calls.erase(message.number) == 0) return;
  found->second.connection->Send(
      protocol::Encode(protocol::AbandonedCall{message.number}));
}

void PeerLink::FailPendingCalls(Outbound& outbound) {
  const bool sent =
      outbound.connection != nullptr && outbound.connection->ever_connected();
  for (const std::uint64_t number : std::exchange(outbound.pending_calls, {})) {
    Refusal refusal;
    refusal.reason = Reason::kOwnerUnreachable;
    refusal.verdict = sent ? Verdict::kMayHaveRun : Verdict::kNotRun;
    outputs_.front.Send(CallReplied{number, refusal});
  }
}

void PeerLink::CloseSuspectedPeers(const membership::View& view) {
  for (auto& [instance, outbound] : outbound_) {
    const membership::Member* member = view.FindMember(instance);
    const bool gone = member == nullptr ||
                      member->state == membership::MemberState::kSuspected;
    // A connection over a broken link may stay open for minutes otherwise.
    if (gone && outbound.connection != nullptr) outbound.connection->Close();
  }
}

// Messages from peers.

asio::awaitable<void> PeerLink::AcceptPeers() {
  while (true) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    ConnectionPtr connection = MakeConnection();
    inbound_[connection->number()] = connection;
    connection->Adopt(std::move(socket));
  }
}

void PeerLink::HandlePeerMessage(std::uint64_t connection,
                                 protocol::PeerMessage message) {
  std::visit(
      Overloaded{
          [&](protocol::ForwardedCall& call) {
            HandleForwardedCall(connection, std::move(call));
          },
          [&](protocol::ForwardedReply& reply) {
            for (auto& [instance, outbound] : outbound_) {
              if (outbound.connection->number() != connection) continue;
              if (outbound.pending_calls.erase(reply.number) == 0) return;
              outputs_.front.Send(
                  CallReplied{reply.number, std::move(reply.reply)});
            }
          },
          [&](const protocol::AbandonedCall& abandoned) {
            // The message does not name the cell; the token is unique.
            for (const CellId& cell : cell_ids_) {
              outputs_.decider.Send(
                  CellInput{cell, std::nullopt,
                            cell::ForgetToken{{connection, abandoned.number}}});
            }
          },
          [&](const protocol::NotesRequest& request) {
            outputs_.platform.Send(
                PeerNotesRequested{connection, request.after});
          },
          [&](protocol::Notes& notes) {
            outputs_.platform.Send(NotesReceived{std::move(notes)});
          },
          [&](const protocol::WorkersRequest&) { SendWorkers(connection); },
          [&](protocol::Workers& workers) {
            outputs_.platform.Send(WorkersReceived{std::move(workers.workers)});
          },
      },
      message);
}

void PeerLink::SendWorkers(std::uint64_t connection) {
  const auto found = inbound_.find(connection);
  if (found == inbound_.end() || cells_ == nullptr) return;
  protocol::Workers message;
  for (const configuration::CellTopology& cell : *cells_) {
    message.workers.insert(message.workers.end(), cell.workers.begin(),
                           cell.workers.end());
  }
  found->second->Send(protocol::Encode(std::move(message)));
}

void PeerLink::HandleForwardedCall(std::uint64_t connection,
                                   protocol::ForwardedCall call) {
  const cell::ReplyToken token{connection, call.number};
  outputs_.decider.Send(
      CellInput{call.cell, std::nullopt, ToInput(token, std::move(call.op))});
}

void PeerLink::On(ForwardedCallReplied message) {
  const auto found = inbound_.find(message.token.origin);
  if (found == inbound_.end()) return;  // The peer is gone or will retry.
  protocol::ForwardedReply reply{message.token.number,
                                 std::move(message.reply)};
  if (!found->second->Send(protocol::Encode(std::move(reply))))
    found->second->Close();
}

void PeerLink::On(PeerNotesFound message) {
  const auto found = inbound_.find(message.connection);
  if (found == inbound_.end()) return;
  found->second->Send(protocol::Encode(std::move(message.notes)));
}

void PeerLink::HandleConnectionClosed(std::uint64_t connection) {
  inbound_.erase(connection);
  for (auto& [instance, outbound] : outbound_) {
    if (outbound.connection != nullptr &&
        outbound.connection->number() == connection) {
      FailPendingCalls(outbound);
    }
  }
}

}  // namespace jasminespar::daemon
