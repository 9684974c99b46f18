/// @file
/// Messages between instances that serve jobs: signs of life over UDP, and
/// requests to the table over TCP for an instance that cannot reach it.

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

/// Sent to every peer in short intervals.
struct PeerHeartbeat {
  InstanceId instance;
  configuration::Address address;  ///< Where the sender hears its peers.
  bool table_reached = false;      ///< The table serves the sender.
  /// Submissions whose write at the sender may still be carried out.
  std::vector<jobs::JobId> unsettled;
};

/// The row by which instances find each other.
struct MemberRow {
  InstanceId instance;
  configuration::Address address;
};

/// Asks a peer to put one request to the table.
struct RelayRequest {
  std::uint64_t number = 0;  ///< Of the sender; answered once.
  site::TableRequest request;
};
struct RelayReply {
  std::uint64_t number = 0;
  site::TableOutcome outcome;
};
using RelayMessage = std::variant<RelayRequest, RelayReply>;

[[nodiscard]] std::string Encode(const PeerHeartbeat& beat);
[[nodiscard]] std::string Encode(const MemberRow& row);
[[nodiscard]] std::string Encode(const RelayMessage& message);

// Each throws Error kMalformedRequest/kNotRun when the bytes are no such value.
[[nodiscard]] PeerHeartbeat DecodePeerHeartbeat(std::string_view bytes);
[[nodiscard]] MemberRow DecodeMemberRow(std::string_view bytes);
[[nodiscard]] RelayMessage DecodeRelayMessage(std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_RELAY_MESSAGE_H_
