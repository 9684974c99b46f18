/// @file
/// What callers ask for: submitting, looking up and cancelling calls, and
/// giving waiting calls back when the owner leaves.

#ifndef JASMINESPAR_CELL_ADMISSION_H_
#define JASMINESPAR_CELL_ADMISSION_H_

#include "context.h"

namespace jasminespar::cell {

void Submit(Context& context, SubmitCall submit);
void LookUp(Context& context, const LookUpCall& look_up);
void Cancel(Context& context, const CancelCall& cancel);

/// Performs what is due of a call: its expiry, its next offer to the
/// scheduler, its run, or the end of its retention.
void WakeCall(Context& context, Call& call);

/// Takes the news that a record of the call is durable.
void TakeDurable(Context& context, Call& call);

/// The store does not answer: refuses the non-idempotent calls whose
/// acceptance is not durable. Their records may still become so, but a later
/// owner starts such a call only when its caller asks again.
void RefuseUnrecorded(Context& context);

/// Gives waiting calls back. One that was promised stays for the next owner,
/// and who waits for it is told to ask there.
void GiveBackWaiting(Context& context);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_ADMISSION_H_
