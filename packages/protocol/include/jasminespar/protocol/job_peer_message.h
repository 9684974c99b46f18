/// @file
/// Messages between instances that serve jobs: heartbeats over UDP, and over
/// TCP the table requests that a peer relays for an instance that cannot reach
/// the table, and changes of the configuration.

#ifndef JASMINESPAR_PROTOCOL_JOB_PEER_MESSAGE_H_
#define JASMINESPAR_PROTOCOL_JOB_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/configuration_change.h"
#include "jasminespar/site/table.h"

namespace jasminespar::protocol {

/// Sent at a short interval, to some peers or to all of them.
struct PeerHeartbeat {
  InstanceId instance;
  configuration::Address address;  ///< Where the sender receives messages.
  bool table_reached = false;      ///< The table answers the sender.
  bool owns_cell = false;
  /// Submitted jobs whose write by the sender may still take effect.
  std::vector<jobs::JobId> unsettled;
  Revision configuration;  ///< Version in force at the sender.
  /// Time since the sender itself last found that version to be the newest in
  /// the table; negative when it has the version from another instance.
  Duration configuration_age{-1};
  /// The sender watches the table for changes of the configuration.
  bool watches_configuration = false;
  /// Of the sender's last read of a version from the table.
  Duration configuration_read_time{};
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

/// Asks a peer for the change to its configuration.
struct ConfigurationRequest {
  Revision held;  ///< Version at the sender; 0 for none.
};
/// The peer's configuration, as a change to the version held if the peer still
/// has that one, else whole.
struct ConfigurationReply {
  jobs::ConfigurationChange change;
  site::RowVersion row;  ///< Of the configuration's row in the table.
};

using JobPeerMessage = std::variant<RelayRequest, RelayReply,
                                    ConfigurationRequest, ConfigurationReply>;

[[nodiscard]] std::string Encode(const PeerHeartbeat& heartbeat);
[[nodiscard]] std::string Encode(const MemberRow& row);
[[nodiscard]] std::string Encode(const JobPeerMessage& message);

// Each throws Error kMalformedRequest/kNotRun when the bytes are not such a
// value.
[[nodiscard]] PeerHeartbeat DecodePeerHeartbeat(std::string_view bytes);
[[nodiscard]] MemberRow DecodeMemberRow(std::string_view bytes);
[[nodiscard]] JobPeerMessage DecodeJobPeerMessage(std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_JOB_PEER_MESSAGE_H_
