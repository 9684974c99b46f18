#include "jasminespar/protocol/relay_message.h"

#include "encode_value.h"
#include "serialization.h"

namespace jasminespar {
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
  archive(range.table, range.partition, range.from, range.to);
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
          heartbeat.unsettled);
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

std::string Encode(const RelayMessage& message) { return EncodeValue(message); }
RelayMessage DecodeRelayMessage(std::string_view bytes) {
  return DecodeValue<RelayMessage>(bytes);
}

}  // namespace protocol
}  // namespace jasminespar
