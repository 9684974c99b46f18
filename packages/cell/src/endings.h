/// @file
/// How calls end: the outcome, its record, and the replies that wait for it.

#ifndef JASMINESPAR_CELL_ENDINGS_H_
#define JASMINESPAR_CELL_ENDINGS_H_

#include "context.h"

namespace jasminespar::cell {

/// Gives the call its one outcome and appends its record. A promised call is
/// answered once the record is durable, others at once. A run that is still
/// in progress keeps its accelerators until it has ended.
void End(Context& context, Call& call, Outcome outcome);

/// Ends the call with a refusal whose verdict is what is known of its runs.
void EndRefused(Context& context, Call& call, Reason reason);

/// Answers or accepts whatever the call's durable records now allow.
void ReplyIfDurable(Context& context, Call& call);

/// At the deadline: tells those who still wait what is certain without the
/// record. The call itself goes on.
void ReplyAtDeadline(Context& context, Call& call);

/// Sends `reply` to all who wait for the outcome.
void ReplyToAll(Context& context, Call& call, const CallReply& reply);

/// Notes what the workers keep of the call's ended run, and tells them to
/// forget it once no later owner can need it.
void KeepResults(Context& context, Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_ENDINGS_H_
