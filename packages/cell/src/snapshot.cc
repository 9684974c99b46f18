#include "snapshot.h"

namespace jasminespar::cell {
namespace {

/// @return the placement of the recorded attempt, whole.
scheduling::Placement PlacementOf(const Call& call) {
  if (call.open) return *call.open;
  if (!call.run) return call.placement;
  scheduling::Placement placement;
  for (const GangPart& part : call.run->parts()) {
    placement.parts.push_back(part.allocation);
  }
  return placement;
}

void AppendAttempt(const Call& call, std::vector<JournalRecord>& records) {
  const bool recorded = !IsIdempotent(call) && call.attempt.value > 0;
  if (!recorded || call.outcome) return;
  const CallId id = call.request.id;
  records.emplace_back(AttemptStarting{id, call.attempt, PlacementOf(call)});
  if (call.phase == CallPhase::kWaiting && !call.open) {
    records.emplace_back(AttemptNeverStarted{id, call.attempt});
  }
}

}  // namespace

std::vector<JournalRecord> SnapshotRecords(const Context& context) {
  std::vector<JournalRecord> records;
  for (const auto& [id, call] : context.calls.calls()) {
    records.emplace_back(CallAccepted{call.request, call.deadline_wall});
    AppendAttempt(call, records);
    if (call.outcome) {
      records.emplace_back(CallEnded{id, *call.outcome, call.forget_at});
    }
  }
  return records;
}

}  // namespace jasminespar::cell
