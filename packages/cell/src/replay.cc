#include "replay.h"

#include <utility>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::cell {

std::map<CallId, ReplayedCall> Replay(std::vector<JournalRecord> records) {
  std::map<CallId, ReplayedCall> calls;
  const Overloaded replay{
      [&](CallAccepted&& record) {
        ReplayedCall& call = calls[record.request.id];
        // Accepted again after its end: the key was reused after the retention.
        if (call.ended) call = ReplayedCall{{}, call.attempt, {}, {}};
        if (!call.accepted) {
          call.accepted = std::move(record);
        } else if (record.request.delivery == Delivery::kCollect) {
          call.accepted->request.delivery = Delivery::kCollect;
        }
      },
      [&](AttemptStarting&& record) {
        ReplayedCall& call = calls[record.call];
        if (record.attempt <= call.attempt) return;
        call.attempt = record.attempt;
        call.open_placement = std::move(record.placement);
      },
      [&](AttemptNeverStarted&& record) {
        ReplayedCall& call = calls[record.call];
        if (record.attempt == call.attempt) call.open_placement.reset();
      },
      [&](CallEnded&& record) {
        ReplayedCall& call = calls[record.call];
        if (!call.ended) call.ended = std::move(record);
      }};
  for (JournalRecord& record : records) std::visit(replay, std::move(record));
  return calls;
}

}  // namespace jasminespar::cell
