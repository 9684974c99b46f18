/// @file
/// cereal serialization of the types of other packages. Private to this
/// package, so that those packages do not depend on their encoding.

#ifndef JASMINESPAR_PROTOCOL_SRC_SERIALIZATION_H_
#define JASMINESPAR_PROTOCOL_SRC_SERIALIZATION_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>

#include "jasminespar/cell/journal_record.h"
#include "jasminespar/cell/messages.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/membership/heartbeat.h"
#include "jasminespar/protocol/journal_batch.h"
#include "jasminespar/protocol/ownership_row.h"
#include "jasminespar/protocol/peer_message.h"

namespace jasminespar {

/// Writes an enumerator as one byte and rejects a byte without a row in the
/// enum's dense table, because `RowOf` would index past the table later.
template <typename Enum, typename Table>
class CheckedEnum {
 public:
  CheckedEnum(Enum& value, const Table& table) : value_(value), table_(table) {}

  template <typename Archive>
  void save(Archive& archive) const {
    archive(static_cast<std::uint8_t>(value_));
  }
  template <typename Archive>
  void load(Archive& archive) {
    std::uint8_t number = 0;
    archive(number);
    if (number >= table_.size()) {
      throw cereal::Exception("enumerator is out of range");
    }
    value_ = static_cast<Enum>(number);
  }

 private:
  Enum& value_;
  const Table& table_;
};

template <typename Archive, typename Tag>
void serialize(Archive& archive, TextId<Tag>& id) {
  archive(id.value);
}
template <typename Archive, typename Tag>
void serialize(Archive& archive, NumericId<Tag>& id) {
  archive(id.value);
}
template <typename Archive>
void serialize(Archive& archive, Epoch& epoch) {
  archive(epoch.durable, epoch.provisional);
}
template <typename Archive>
void serialize(Archive& archive, CallId& id) {
  archive(id.high, id.low);
}
template <typename Archive>
void serialize(Archive& archive, CallKey& key) {
  archive(key.account, key.service, key.idempotency_key);
}
template <typename Archive>
void serialize(Archive& archive, GangShape& gang) {
  archive(gang.accelerators, CheckedEnum(gang.adjacency, kAdjacencyNames));
}
template <typename Archive>
void serialize(Archive& archive, CallRequest& request) {
  archive(request.id, request.key,
          CheckedEnum(request.idempotence, kIdempotenceNames),
          CheckedEnum(request.delivery, kDeliveryNames),
          CheckedEnum(request.priority, kPriorityNames), request.gang,
          request.time_left, request.declared_run_time, request.body);
}
template <typename Archive>
void serialize(Archive& archive, Answer& answer) {
  archive(answer.http_status, answer.body);
}
template <typename Archive>
void serialize(Archive& archive, Refusal& refusal) {
  archive(refusal.reason, refusal.verdict, refusal.retry_after, refusal.detail);
}

namespace configuration {

template <typename Archive>
void serialize(Archive& archive, Address& address) {
  archive(address.host, address.port);
}
template <typename Archive>
void serialize(Archive& archive, Worker& worker) {
  archive(worker.id, worker.data_centre, worker.rack, worker.accelerators,
          worker.address, CheckedEnum(worker.state, kMachineStateNames));
}

}  // namespace configuration

namespace scheduling {

template <typename Archive>
void serialize(Archive& archive, Allocation& allocation) {
  archive(allocation.worker, allocation.accelerators);
}
template <typename Archive>
void serialize(Archive& archive, Placement& placement) {
  archive(placement.parts);
}
template <typename Archive>
void serialize(Archive& archive, LoadSummary& load) {
  archive(load.free_accelerators, load.total_accelerators, load.waiting_jobs,
          load.running_jobs, load.largest_free_shape, load.expected_wait);
}

}  // namespace scheduling

namespace cell {

template <typename Archive>
void serialize(Archive& archive, WallTime& time) {
  archive(time.milliseconds);
}
template <typename Archive>
void serialize(Archive& archive, CallAccepted& record) {
  archive(record.request, record.deadline);
}
template <typename Archive>
void serialize(Archive& archive, AttemptStarting& record) {
  archive(record.call, record.attempt, record.placement);
}
template <typename Archive>
void serialize(Archive& archive, AttemptNeverStarted& record) {
  archive(record.call, record.attempt);
}
template <typename Archive>
void serialize(Archive& archive, CallEnded& record) {
  archive(record.call, record.outcome, record.forget_at);
}
template <typename Archive>
void serialize(Archive& archive, CallStatus& status) {
  archive(status.id, CheckedEnum(status.state, kCallStateNames), status.attempt,
          status.explanation);
}
template <typename Archive>
void serialize(Archive& archive, CallAcceptedReply& reply) {
  archive(reply.id);
}

}  // namespace cell

namespace membership {

template <typename Archive>
void serialize(Archive& archive, OwnedCell& cell) {
  archive(cell.cell, cell.epoch, cell.recovering, cell.load);
}
template <typename Archive>
void serialize(Archive& archive, Heartbeat& heartbeat) {
  archive(heartbeat.instance, heartbeat.incarnation, heartbeat.sequence,
          heartbeat.data_centre, heartbeat.caller, heartbeat.peer,
          heartbeat.leaving, heartbeat.revision, heartbeat.cells);
}

template <typename Archive>
void serialize(Archive& archive, OwnershipRow& row) {
  archive(row.cell, row.owner, row.peer, row.epoch, row.claim_id);
}

}  // namespace membership

namespace protocol {

template <typename Archive>
void serialize(Archive& archive, JournalBatch& batch) {
  archive(batch.epoch, batch.number, batch.records);
}
template <typename Archive>
void serialize(Archive& archive, SnapshotRow& row) {
  archive(row.object_key, row.through, row.digest);
}
template <typename Archive>
void serialize(Archive& archive, SubmitOp& op) {
  archive(op.request);
}
template <typename Archive>
void serialize(Archive& archive, LookUpOp& op) {
  archive(op.id, op.account);
}
template <typename Archive>
void serialize(Archive& archive, CancelOp& op) {
  archive(op.id, op.account);
}
template <typename Archive>
void serialize(Archive& archive, ForwardedCall& message) {
  archive(message.number, message.cell, message.hops, message.op);
}
template <typename Archive>
void serialize(Archive& archive, ForwardedReply& message) {
  archive(message.number, message.reply);
}
template <typename Archive>
void serialize(Archive& archive, AbandonedCall& message) {
  archive(message.number);
}
template <typename Archive>
void serialize(Archive& archive, NotesRequest& message) {
  archive(message.after);
}
template <typename Archive>
void serialize(Archive& archive, Notes& message) {
  archive(message.through, message.is_configuration, message.texts);
}
template <typename Archive>
void serialize(Archive& /*archive*/, WorkersRequest& /*message*/) {}
template <typename Archive>
void serialize(Archive& archive, Workers& message) {
  archive(message.workers);
}

}  // namespace protocol
}  // namespace jasminespar

#endif  // JASMINESPAR_PROTOCOL_SRC_SERIALIZATION_H_
