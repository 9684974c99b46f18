#include "jasminespar/protocol/job_peer_message.h"

#include <cereal/types/set.hpp>

#include "encode_value.h"
#include "queue_serialization.h"
#include "serialization.h"

namespace jasminespar {
namespace jobs {

template <typename Archive>
void serialize(Archive& archive, QueueRoute& route) {
  archive(route.name, route.host, route.prefix);
}
template <typename Archive>
void serialize(Archive& archive, AccountConfiguration& account) {
  archive(account.name, account.keys, account.guaranteed_accelerators);
}
template <typename Archive>
void serialize(Archive& archive, ConfigurationChange& change) {
  archive(change.base, change.version, change.removed_queues, change.queues,
          change.removed_accounts, change.accounts, change.max_body_bytes);
}

}  // namespace jobs

namespace site {

template <typename Archive>
void serialize(Archive& archive, RowKey& key) {
  archive(key.table, key.partition, key.key);
}
template <typename Archive>
void serialize(Archive& archive, Row& row) {
  archive(row.key, row.value, row.version, row.deleted);
}
template <typename Archive>
void serialize(Archive& archive, Condition& condition) {
  archive(condition.key, condition.version);
}
template <typename Archive>
void serialize(Archive& archive, Transaction& transaction) {
  archive(transaction.conditions, transaction.writes, transaction.deletes);
}
template <typename Archive>
void serialize(Archive& archive, RowRange& range) {
  archive(range.table, range.partition, range.from, range.to, range.limit);
}
template <typename Archive>
void serialize(Archive& archive, Watch& watch) {
  archive(watch.table, watch.after, watch.wait);
}
template <typename Archive>
void serialize(Archive& archive, Committed& outcome) {
  archive(outcome.version);
}
template <typename Archive>
void serialize(Archive& archive, Conflict& outcome) {
  archive(outcome.current);
}
template <typename Archive>
void serialize(Archive& archive, Refused& outcome) {
  archive(outcome.status);
}
template <typename Archive>
void serialize(Archive& archive, Malformed& outcome) {
  archive(outcome.status);
}
template <typename Archive>
void serialize(Archive& /*archive*/, NoAnswer& /*outcome*/) {}
template <typename Archive>
void serialize(Archive& /*archive*/, HistoryGone& /*outcome*/) {}
template <typename Archive>
void serialize(Archive& archive, RowPage& page) {
  archive(page.rows, page.has_more, page.version);
}

}  // namespace site

namespace protocol {

template <typename Archive>
void serialize(Archive& archive, PeerHeartbeat& heartbeat) {
  archive(heartbeat.instance, heartbeat.address, heartbeat.table_reached,
          heartbeat.owns_cell, heartbeat.unsettled, heartbeat.configuration,
          heartbeat.configuration_age, heartbeat.watches_configuration,
          heartbeat.configuration_read_time);
}
template <typename Archive>
void serialize(Archive& archive, MemberRow& row) {
  archive(row.instance, row.address);
}
template <typename Archive>
void serialize(Archive& archive, RelayRequest& message) {
  archive(message.number, message.request);
}
template <typename Archive>
void serialize(Archive& archive, RelayReply& message) {
  archive(message.number, message.outcome);
}

template <typename Archive>
void serialize(Archive& archive, ConfigurationRequest& message) {
  archive(message.held);
}
template <typename Archive>
void serialize(Archive& archive, ConfigurationReply& message) {
  archive(message.change, message.row);
}

std::string Encode(const PeerHeartbeat& heartbeat) {
  return EncodeValue(heartbeat);
}
PeerHeartbeat DecodePeerHeartbeat(std::string_view bytes) {
  return DecodeValue<PeerHeartbeat>(bytes);
}

std::string Encode(const MemberRow& row) { return EncodeValue(row); }
MemberRow DecodeMemberRow(std::string_view bytes) {
  return DecodeValue<MemberRow>(bytes);
}

std::string Encode(const JobPeerMessage& message) {
  return EncodeValue(message);
}
JobPeerMessage DecodeJobPeerMessage(std::string_view bytes) {
  return DecodeValue<JobPeerMessage>(bytes);
}

}  // namespace protocol
}  // namespace jasminespar
