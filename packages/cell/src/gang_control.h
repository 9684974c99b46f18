/// @file
/// Attempts of calls: their start, the words of workers about them, and what
/// follows from how they end.

#ifndef JASMINESPAR_CELL_GANG_CONTROL_H_
#define JASMINESPAR_CELL_GANG_CONTROL_H_

#include "context.h"

namespace jasminespar::cell {

/// Takes the accelerators and orders the gang, or first writes the record
/// that a non-idempotent attempt needs.
void StartAttempt(Context& context, const CallId& id,
                  const scheduling::Placement& placement);

/// Orders the gang of a call whose record has become durable.
void OrderAttempt(Context& context, Call& call);

/// Stops a borrowed gang so that it runs again later.
void Reclaim(Context& context, const CallId& id);

/// Gives up an attempt of which no worker has heard.
void AbandonStart(Context& context, Call& call);

/// Draws the consequences once the call's run has ended.
void Settle(Context& context, Call& call);

void TakeWord(Context& context, const TaskUpdate& word);
void TakeFailure(Context& context, const TaskOrderFailed& failure);

/// @return whether the report lists a part of the run.
[[nodiscard]] bool Lists(const WorkerReported& report, const GangRun& run);
void TakeReport(Context& context, const WorkerReported& report);
void LoseWorker(Context& context, WorkerId worker);

/// Performs what is due of the call's run.
void WakeRun(Context& context, Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_GANG_CONTROL_H_
