/// @file
/// Attempts of calls: their start, the messages of workers about them, and the
/// handling of their end.

#ifndef JASMINESPAR_CELL_GANG_CONTROL_H_
#define JASMINESPAR_CELL_GANG_CONTROL_H_

#include "context.h"

namespace jasminespar::cell {

/// Occupies the accelerators and orders the gang's tasks. For a non-idempotent
/// call it appends AttemptStarting instead; the orders follow once that record
/// is durable.
void StartAttempt(Context& context, const CallId& id,
                  const scheduling::Placement& placement);

/// Orders the tasks of the call's attempt.
/// @throws std::logic_error when a non-idempotent attempt is not recorded.
void OrderAttempt(Context& context, Call& call);

/// Checkpoints and stops a gang on borrowed accelerators; the call is retried
/// later. Stops an orphan if no call has this id.
void Reclaim(Context& context, const CallId& id);

/// Records that an attempt without orders never started and frees its
/// accelerators.
void AbandonStart(Context& context, Call& call);

/// Once the call's run has ended: ends the call with its answer, retries it or
/// refuses it, and frees its accelerators. Before, only updates the timer.
void FinishRunIfEnded(Context& context, Call& call);

void HandleTaskUpdate(Context& context, const TaskUpdate& update);
void HandleOrderFailure(Context& context, const TaskOrderFailed& failure);

/// @return whether the report lists a task of the run.
[[nodiscard]] bool ListsTaskOf(const WorkerReported& report,
                               const GangRun& run);
void HandleWorkerReport(Context& context, const WorkerReported& report);
void HandleWorkerLost(Context& context, WorkerId worker);

/// Handles a due timer of the call's run.
void HandleRunTimer(Context& context, Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_GANG_CONTROL_H_
