/// @file
/// Messages between instances over TCP. Heartbeats travel over UDP.

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

/// Largest heartbeat datagram; bytes. Fits one loopback or jumbo packet.
inline constexpr std::size_t kMaxDatagramBytes = 60'000;

// What a forwarded call asks of the cell.

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

/// An instance asks the owner of a cell on behalf of its caller.
struct ForwardedCall {
  std::uint64_t number = 0;  ///< Of the sender; answered once.
  CellId cell;
  std::uint32_t hops = 1;
  CallOp op;
};

struct ForwardedReply {
  std::uint64_t number = 0;
  cell::CallReply reply;
};

/// The caller is gone; no reply is wanted any more.
struct AbandonedCall {
  std::uint64_t number = 0;
};

/// Asks for the release notes above a revision.
struct NotesRequest {
  Revision after;
};

/// Release notes in the operators' JSON form, oldest first; or, when the
/// sender no longer keeps them one by one, the whole configuration.
struct Notes {
  Revision through;
  bool is_configuration = false;  ///< texts[0] is a whole configuration.
  std::vector<std::string> texts;
};

/// Asks for the workers of the site; sent by an instance that has not been
/// able to read the platform's list since it started.
struct WorkersRequest {};

struct Workers {
  std::vector<configuration::Worker> workers;
};

using PeerMessage = std::variant<ForwardedCall, ForwardedReply, AbandonedCall,
                                 NotesRequest, Notes, WorkersRequest, Workers>;

/// @return the bytes of one frame, without its length.
[[nodiscard]] std::string Encode(const PeerMessage& message);

/// @throws Error kMalformedRequest/kNotRun when the bytes are not exactly one
///     message.
[[nodiscard]] PeerMessage DecodePeerMessage(std::string_view bytes);

[[nodiscard]] std::string Encode(const membership::Heartbeat& heartbeat);

/// @throws Error kMalformedRequest/kNotRun as above.
[[nodiscard]] membership::Heartbeat DecodeHeartbeat(std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_PEER_MESSAGE_H_
