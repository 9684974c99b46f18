#include "snapshot.h"

namespace jasminespar::cell {
namespace {

/// @return the placement of the recorded attempt, with members that have ended.
scheduling::Placement PlacementOf(const Call& call) {
  if (call.open_placement) return *call.open_placement;
  if (!call.run) return call.placement;
  scheduling::Placement placement;
  for (const GangMember& member : call.run->members()) {
    placement.parts.push_back(member.allocation);
  }
  return placement;
}

void AppendAttempt(const Call& call, std::vector<JournalRecord>& records) {
  const bool recorded = !IsIdempotent(call) && call.attempt.value > 0;
  if (!recorded || call.outcome) return;
  const CallId id = call.request.id;
  records.emplace_back(AttemptStarting{id, call.attempt, PlacementOf(call)});
  if (call.phase == CallPhase::kWaiting && !call.open_placement) {
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
