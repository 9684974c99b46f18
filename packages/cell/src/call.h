/// @file
/// One call as its cell keeps it.

#ifndef JASMINESPAR_CELL_CALL_H_
#define JASMINESPAR_CELL_CALL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "gang_run.h"
#include "jasminespar/cell/journal_record.h"
#include "jasminespar/cell/messages.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"

namespace jasminespar::cell {

/// Where a call stands inside its cell; moves forward, or back to kWaiting
/// between two attempts. kEnded is for ever.
enum class CallPhase : std::uint8_t { kWaiting, kStarting, kActive, kEnded };

inline constexpr NameTable<CallPhase, 4> kCallPhaseNames{{
    {CallPhase::kWaiting, "waiting", "Has no accelerators."},
    {CallPhase::kStarting, "starting", "Its attempt's record is not durable."},
    {CallPhase::kActive, "active", "Workers may know of its attempt."},
    {CallPhase::kEnded, "ended", "Has its outcome."},
}};
static_assert(IsDense(kCallPhaseNames));

struct Call {
  CallRequest request;
  TimePoint arrival;
  TimePoint deadline;
  WallTime deadline_wall;
  CallPhase phase = CallPhase::kWaiting;

  Sequence accepted;  ///< Of CallAccepted; 0 when an earlier owner wrote it.
  std::vector<ReplyToken> accept_waiters;   ///< Want CallAcceptedReply.
  std::vector<ReplyToken> outcome_waiters;  ///< Want the outcome.

  Attempt attempt;                      ///< The latest, 0 before the first.
  std::uint32_t failed_attempts = 0;    ///< Without those that were reclaimed.
  Verdict seen = Verdict::kNotRun;      ///< Of all attempts that have ended.
  bool enqueued = false;                ///< Waits in the scheduler.
  std::optional<TimePoint> enqueue_at;  ///< When to ask the scheduler again.
  bool cancelled = false;
  /// Taken over from an earlier owner for a caller that waits on its
  /// connection: started only when that caller asks again, as the earlier
  /// owner may have refused it without a record.
  bool awaits_caller = false;

  /// Of the latest attempt, when an earlier owner recorded it and its end is
  /// not known yet.
  std::optional<scheduling::Placement> open;
  scheduling::Placement placement;  ///< What it occupies; empty for none.
  Sequence starting;                ///< Of AttemptStarting, in kStarting.
  std::optional<GangRun> run;       ///< May outlive the outcome until it ends.

  std::vector<TaskRef> results;  ///< Kept by workers until it has ended.

  std::optional<Outcome> outcome;
  WallTime forget_at;
  Sequence ended;         ///< Of CallEnded; 0 when an earlier owner wrote it.
  bool answered = false;  ///< The outcome may be given to anyone who asks.
};

/// @return whether an outcome must be durable before it is given, and the
///     call must survive its owner.
[[nodiscard]] inline bool IsPromised(const CallRequest& request) noexcept {
  return request.idempotence == Idempotence::kNonIdempotent ||
         request.delivery == Delivery::kCollect;
}

[[nodiscard]] inline bool IsIdempotent(const Call& call) noexcept {
  return call.request.idempotence == Idempotence::kIdempotent;
}

/// @return whether both ask for the same work. Time left, delivery and
///     priority may differ when a caller sends a key again.
[[nodiscard]] inline bool IsSameRequest(const CallRequest& a,
                                        const CallRequest& b) noexcept {
  return a.key == b.key && a.idempotence == b.idempotence && a.gang == b.gang &&
         a.body == b.body;
}

/// @return when a waiting call gives up. One whose refusal must be durable
///     gives up early, so that its caller can be told a certain verdict.
[[nodiscard]] TimePoint ExpiryOf(const Call& call);

/// @return what can be said now about a run of the call.
[[nodiscard]] Verdict VerdictOf(const Call& call);

/// @throws std::logic_error when the parts of the call contradict each other.
void CheckCall(const Call& call);

/// @return the state as callers see it.
[[nodiscard]] CallState StateOf(const Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_CALL_H_
