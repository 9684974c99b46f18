/// @file
/// Requests of callers (submit, look up and cancel), and the refusal of waiting
/// calls at a handover or while the store is unreachable.

#ifndef JASMINESPAR_CELL_ADMISSION_H_
#define JASMINESPAR_CELL_ADMISSION_H_

#include "context.h"

namespace jasminespar::cell {

void Submit(Context& context, SubmitCall submit);
void LookUp(Context& context, const LookUpCall& look_up);
void Cancel(Context& context, const CancelCall& cancel);

/// Handles a due timer of a call: its expiry, its next attempt to enter the
/// scheduler's queue, a timer of its run, or the end of its retention.
void HandleCallTimer(Context& context, Call& call);

/// Orders a recorded attempt and sends the replies that a record of the call
/// allows now that it is durable.
void HandleDurableRecord(Context& context, Call& call);

/// Called when the store becomes unreachable: refuses the non-idempotent calls
/// whose acceptance is not durable. Their records may still become durable, but
/// a later owner starts such a call only when its caller submits it again.
void RefuseUnrecordedCalls(Context& context);

/// Refuses waiting calls because the owner is leaving. A call that requires
/// durability stays in the journal for the next owner; its callers are refused
/// with kShuttingDown and ask the next owner.
void RefuseWaitingCalls(Context& context);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_ADMISSION_H_
