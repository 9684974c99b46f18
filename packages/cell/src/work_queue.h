/// @file
/// Waiting calls and the scheduler: offering a call, and performing what the
/// scheduler decides.

#ifndef JASMINESPAR_CELL_WORK_QUEUE_H_
#define JASMINESPAR_CELL_WORK_QUEUE_H_

#include <optional>

#include "context.h"

namespace jasminespar::cell {

/// Offers a waiting call to the scheduler.
/// @return why it is refused, or nothing.
[[nodiscard]] std::optional<Refusal> Enqueue(Context& context, Call& call);

/// Offers a call that was admitted before. A refusal that may pass is tried
/// again later; any other ends the call.
void OfferAgain(Context& context, Call& call);

/// Takes a waiting call out of the scheduler.
void Withdraw(Context& context, Call& call);

/// Performs everything that the scheduler decides now.
void DecideAll(Context& context);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_WORK_QUEUE_H_
