#include "encode_value.h"
#include "serialization.h"

namespace jasminespar::protocol {

std::string Encode(const PeerMessage& message) { return EncodeValue(message); }
PeerMessage DecodePeerMessage(std::string_view bytes) {
  return DecodeValue<PeerMessage>(bytes);
}

std::string Encode(const membership::Heartbeat& heartbeat) {
  return EncodeValue(heartbeat);
}
membership::Heartbeat DecodeHeartbeat(std::string_view bytes) {
  return DecodeValue<membership::Heartbeat>(bytes);
}

std::string Encode(const JournalBatch& batch) { return EncodeValue(batch); }
JournalBatch DecodeJournalBatch(std::string_view bytes) {
  return DecodeValue<JournalBatch>(bytes);
}

std::string Encode(const SnapshotRow& row) { return EncodeValue(row); }
SnapshotRow DecodeSnapshotRow(std::string_view bytes) {
  return DecodeValue<SnapshotRow>(bytes);
}

std::string Encode(const std::vector<cell::JournalRecord>& records) {
  return EncodeValue(records);
}
std::vector<cell::JournalRecord> DecodeRecords(std::string_view bytes) {
  return DecodeValue<std::vector<cell::JournalRecord>>(bytes);
}

std::string Encode(const membership::OwnershipRow& row) {
  return EncodeValue(row);
}
membership::OwnershipRow DecodeOwnershipRow(std::string_view bytes) {
  return DecodeValue<membership::OwnershipRow>(bytes);
}

}  // namespace jasminespar::protocol
