/// @file
/// Waiting calls and the scheduler: enqueues calls and performs the scheduler's
/// decisions.

#ifndef JASMINESPAR_CELL_WORK_QUEUE_H_
#define JASMINESPAR_CELL_WORK_QUEUE_H_

#include <optional>

#include "context.h"

namespace jasminespar::cell {

/// Adds a waiting call to the scheduler's queue.
/// @return why it is refused, or nothing.
[[nodiscard]] std::optional<Refusal> Enqueue(Context& context, Call& call);

/// Enqueues a call that was admitted before. After a transient refusal it is
/// tried again later; any other refusal ends the call.
void EnqueueOrRetry(Context& context, Call& call);

/// Removes a call from the scheduler's queue, if it is there.
void Dequeue(Context& context, Call& call);

/// Passes topology changes to the scheduler and performs its decisions until
/// there are no more.
void RunScheduler(Context& context);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_WORK_QUEUE_H_
