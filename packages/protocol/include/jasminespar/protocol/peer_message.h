/// @file
/// Messages between instances: heartbeats over UDP, all others over TCP.

#ifndef JASMINESPAR_PROTOCOL_PEER_MESSAGE_H_
#define JASMINESPAR_PROTOCOL_PEER_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminespar/cell/messages.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/membership/heartbeat.h"

namespace jasminespar::protocol {

/// Size of the largest heartbeat datagram; bytes. Fits one loopback or jumbo
/// packet.
inline constexpr std::size_t kMaxDatagramBytes = 60'000;

// Operations that the owner of a cell is asked to perform.

struct SubmitOp {
  CallRequest request;
};
struct LookUpOp {
  CallId id;
  ClientAccountId account;
};
struct CancelOp {
  CallId id;
  ClientAccountId account;
};
using CallOp = std::variant<SubmitOp, LookUpOp, CancelOp>;

/// Operation that an instance forwards to a cell's owner for its caller.
struct ForwardedCall {
  std::uint64_t number = 0;  ///< Assigned by the sender; answered once.
  CellId cell;
  std::uint32_t hops = 1;
  CallOp op;
};

struct ForwardedReply {
  std::uint64_t number = 0;  ///< Of the ForwardedCall.
  cell::CallReply reply;
};

/// Cancels the wait for a reply, because the caller has disconnected.
struct AbandonedCall {
  std::uint64_t number = 0;  ///< Of the ForwardedCall.
};

/// Requests the release notes after a revision.
struct NotesRequest {
  Revision after;
};

/// Release notes in the JSON form that operators use, oldest first; or the
/// whole configuration, when the sender no longer has all of these notes.
struct Notes {
  Revision through;               ///< Reached by the texts.
  bool is_configuration = false;  ///< texts[0] is the whole configuration.
  std::vector<std::string> texts;
};

/// Requests the workers of the site. Sent by an instance that has not been able
/// to read the platform's list since it started.
struct WorkersRequest {};

struct Workers {
  std::vector<configuration::Worker> workers;
};

using PeerMessage = std::variant<ForwardedCall, ForwardedReply, AbandonedCall,
                                 NotesRequest, Notes, WorkersRequest, Workers>;

/// @return the payload of one frame, without the length prefix.
[[nodiscard]] std::string Encode(const PeerMessage& message);

/// @throws Error kMalformedRequest/kNotRun when the bytes are not exactly one
///     message.
[[nodiscard]] PeerMessage DecodePeerMessage(std::string_view bytes);

[[nodiscard]] std::string Encode(const membership::Heartbeat& heartbeat);

/// @throws Error kMalformedRequest/kNotRun when the bytes are not exactly one
///     heartbeat.
[[nodiscard]] membership::Heartbeat DecodeHeartbeat(std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_PEER_MESSAGE_H_
