/// @file
/// Messages between instances that serve jobs: heartbeats over UDP, and over
/// TCP the table requests that a peer relays for an instance that cannot reach
/// the table.

#ifndef JASMINESPAR_PROTOCOL_RELAY_MESSAGE_H_
#define JASMINESPAR_PROTOCOL_RELAY_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/site/table.h"

namespace jasminespar::protocol {

/// Sent to every peer at a short interval.
struct PeerHeartbeat {
  InstanceId instance;
  configuration::Address address;  ///< Where the sender receives messages.
  bool table_reached = false;      ///< The table answers the sender.
  /// Submitted jobs whose write by the sender may still take effect.
  std::vector<jobs::JobId> unsettled;
};

/// Row through which instances discover each other.
struct MemberRow {
  InstanceId instance;
  configuration::Address address;
};

/// Asks a peer to send one request to the table.
struct RelayRequest {
  std::uint64_t number = 0;  ///< Assigned by the sender; answered once.
  site::TableRequest request;
};
struct RelayReply {
  std::uint64_t number = 0;  ///< Of the RelayRequest.
  site::TableOutcome outcome;
};
using RelayMessage = std::variant<RelayRequest, RelayReply>;

[[nodiscard]] std::string Encode(const PeerHeartbeat& heartbeat);
[[nodiscard]] std::string Encode(const MemberRow& row);
[[nodiscard]] std::string Encode(const RelayMessage& message);

// Each throws Error kMalformedRequest/kNotRun when the bytes are not such a
// value.
[[nodiscard]] PeerHeartbeat DecodePeerHeartbeat(std::string_view bytes);
[[nodiscard]] MemberRow DecodeMemberRow(std::string_view bytes);
[[nodiscard]] RelayMessage DecodeRelayMessage(std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_RELAY_MESSAGE_H_
