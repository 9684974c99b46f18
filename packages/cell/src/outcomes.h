/// @file
/// End of a call: its outcome, the journal record, and the replies to callers.

#ifndef JASMINESPAR_CELL_OUTCOMES_H_
#define JASMINESPAR_CELL_OUTCOMES_H_

#include "context.h"

namespace jasminespar::cell {

/// Sets the call's outcome and appends its record. The outcome of a call that
/// requires durability is sent once the record is durable, any other at once. A
/// run that is still in progress keeps its accelerators until it has ended.
/// @throws std::logic_error when the call has an outcome already.
void EndCall(Context& context, Call& call, Outcome outcome);

/// Ends the call with a refusal that carries the verdict on its attempts.
void EndWithRefusal(Context& context, Call& call, Reason reason);

/// Sends the acceptance or outcome if its record is durable.
void ReplyIfDurable(Context& context, Call& call);

/// Called at the deadline: refuses the remaining waiters with the verdict that
/// is certain without a durable record. The call itself continues.
void ReplyAtDeadline(Context& context, Call& call);

/// Sends `reply` to every token that waits for the outcome.
void ReplyToOutcomeWaiters(Context& context, Call& call,
                           const CallReply& reply);

/// Records which workers keep results of the call's ended run, and has them
/// delete the results once the outcome is durable and no later owner can need
/// them.
void RetainResults(Context& context, Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_OUTCOMES_H_
