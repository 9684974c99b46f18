/// @file
/// State of one call inside its cell.

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

/// Phase of a call inside its cell. It advances, or returns to kWaiting between
/// two attempts. kEnded is terminal.
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

  /// Of CallAccepted; 0 when an earlier owner wrote it.
  Sequence accepted_sequence;
  std::vector<ReplyToken> accept_waiters;   ///< Wait for CallAcceptedReply.
  std::vector<ReplyToken> outcome_waiters;  ///< Wait for the outcome.

  Attempt attempt;                    ///< The latest, 0 before the first.
  std::uint32_t failed_attempts = 0;  ///< Excluding reclaimed ones.
  /// Worst verdict of all attempts that have ended.
  Verdict past_verdict = Verdict::kNotRun;
  bool enqueued = false;                ///< Is in the scheduler's queue.
  std::optional<TimePoint> enqueue_at;  ///< When to try to enqueue it.
  bool cancelled = false;
  /// Set on a call of an earlier owner whose caller waited on its connection:
  /// the call starts only when that caller submits it again, because the
  /// earlier owner may have refused it without a record.
  bool awaits_resubmission = false;

  /// Placement of the latest attempt if an earlier owner recorded that attempt
  /// and its end is not known yet.
  std::optional<scheduling::Placement> open_placement;
  scheduling::Placement placement;  ///< Occupied accelerators; may be empty.
  Sequence starting_sequence;       ///< Of AttemptStarting; used in kStarting.
  std::optional<GangRun> run;       ///< May still run after the outcome is set.

  /// Tasks whose results workers keep until the outcome is durable.
  std::vector<TaskRef> kept_results;

  std::optional<Outcome> outcome;
  WallTime forget_at;
  /// Of CallEnded; 0 when an earlier owner wrote it.
  Sequence ended_sequence;
  bool answered = false;  ///< The outcome may be sent to its callers.
};

/// @return whether the call must survive its owner and its outcome must be
///     durable before it is sent.
[[nodiscard]] inline bool RequiresDurability(
    const CallRequest& request) noexcept {
  return request.idempotence == Idempotence::kNonIdempotent ||
         request.delivery == Delivery::kCollect;
}

[[nodiscard]] inline bool IsIdempotent(const Call& call) noexcept {
  return call.request.idempotence == Idempotence::kIdempotent;
}

/// @return whether both request the same work. Time left, delivery and priority
///     may differ when a caller submits a key again.
[[nodiscard]] inline bool IsSameRequest(const CallRequest& a,
                                        const CallRequest& b) noexcept {
  return a.key == b.key && a.idempotence == b.idempotence && a.gang == b.gang &&
         a.body == b.body;
}

/// @return when a waiting call expires. A call whose refusal must be durable
///     expires before its deadline, so that the record can become durable and
///     the caller still gets a certain verdict in time.
[[nodiscard]] TimePoint ExpiryOf(const Call& call);

/// @return what is known now about all attempts of the call.
[[nodiscard]] Verdict VerdictOf(const Call& call);

/// @throws std::logic_error when the fields of the call are inconsistent.
void CheckCall(const Call& call);

/// @return the state as callers see it.
[[nodiscard]] CallState StateOf(const Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_CALL_H_
