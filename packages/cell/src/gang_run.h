/// @file
/// One attempt of a call: the gang's members on their workers, from the first
/// order until every member is known to have ended.

#ifndef JASMINESPAR_CELL_GANG_RUN_H_
#define JASMINESPAR_CELL_GANG_RUN_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "effect_list.h"
#include "jasminespar/cell/cell.h"
#include "jasminespar/cell/task.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"

namespace jasminespar::cell {

enum class GangPhase : std::uint8_t { kPreparing, kReleased, kStopping };

inline constexpr NameTable<GangPhase, 3> kGangPhaseNames{{
    {GangPhase::kPreparing, "preparing", "Not every member is held yet."},
    {GangPhase::kReleased, "released", "A release was sent to every member."},
    {GangPhase::kStopping, "stopping", "A stop was sent to every member."},
}};
static_assert(IsDense(kGangPhaseNames));

/// Source of a task update. A report lists states only, without the answer.
enum class UpdateSource : std::uint8_t { kTask, kReport };

/// Whether a message changed a run or was stale.
enum class UpdateResult : std::uint8_t { kStale, kApplied };

/// One member of the gang, as far as its worker has reported it.
struct GangMember {
  scheduling::Allocation allocation;
  std::optional<Epoch> epoch;           ///< Of its order; nothing when unknown.
  std::optional<TaskState> last_state;  ///< As last reported.
  /// A release or an immediate start was sent, so that it may run.
  bool released = false;
  bool refused = false;  ///< Its order can never take effect.
  bool lost = false;     ///< Its worker no longer runs it.
  bool stopped_after_release = false;
  std::uint32_t send_count = 0;        ///< Sends of the latest request.
  std::optional<TimePoint> resend_at;  ///< When to send it again.
};

/// Result of an attempt whose members have all ended.
struct GangResult {
  std::optional<Answer> answer;  ///< Only when every member succeeded.
  Reason reason = Reason::kWorkerLost;
  Verdict verdict = Verdict::kNotRun;
};

/// Parameters that the orders of a new attempt share.
struct OrderParameters {
  CellId cell;
  Epoch epoch;
  Duration hold{};
  bool start_now = false;
};

class GangRun {
 public:
  /// @param members in rank order.
  GangRun(const CallId& call, Attempt attempt, GangPhase phase,
          std::vector<GangMember> members);

  /// Sends the orders of a new attempt.
  void SendOrders(const CallRequest& request, const OrderParameters& parameters,
                  TimePoint now, EffectList& effects);

  /// Applies a worker's task update. The update carries the epoch of the order,
  /// or of the request to which it responds. A success of rank 0 without an
  /// answer means that the answer is lost, unless it comes from a report.
  UpdateResult ApplyUpdate(const TaskUpdate& update, UpdateSource source,
                           Epoch current_epoch, TimePoint now,
                           EffectList& effects);
  UpdateResult HandleOrderFailure(const TaskOrderFailed& failure, TimePoint now,
                                  EffectList& effects);

  /// Marks the worker's member lost. If the member has ended, the answer that
  /// it may keep is lost.
  void HandleWorkerLost(WorkerId worker, TimePoint now, EffectList& effects);

  /// Handles a full report that does not list the worker's task. A task whose
  /// order may still be in transit is unchanged. Otherwise the release is sent
  /// again, the gang is stopped, or the member is lost.
  void HandleUnlistedTask(WorkerId worker, TimePoint now, EffectList& effects);

  /// Stops every member that has not ended. A later call takes effect only with
  /// a stricter mode.
  void Stop(StopMode mode, Reason reason, TimePoint now, EffectList& effects);

  /// Handles due timers: the end of a wait, and requests to send again.
  void HandleTimer(TimePoint now, EffectList& effects);

  /// Applies the consequences of changed members: stops a gang that has failed,
  /// or releases a gang whose members are all held.
  void Advance(TimePoint now, EffectList& effects);

  [[nodiscard]] std::optional<TimePoint> next_timer() const;

  /// @return whether every member is known to have ended and, if all succeeded,
  ///     the answer has arrived or is known to be lost.
  [[nodiscard]] bool ended() const;
  /// @throws std::logic_error before `ended()`.
  [[nodiscard]] GangResult result() const;

  /// @return what is known now about whether this attempt ran.
  [[nodiscard]] Verdict verdict() const;

  [[nodiscard]] GangPhase phase() const noexcept { return phase_; }
  [[nodiscard]] Attempt attempt() const noexcept { return attempt_; }
  [[nodiscard]] const std::vector<GangMember>& members() const noexcept {
    return members_;
  }
  [[nodiscard]] TaskRef RefOf(const GangMember& member) const;
  /// @return whether the task belongs to this run.
  [[nodiscard]] bool Contains(const TaskRef& task) const;

  /// Disables a rule; only for tests.
  void set_mutation(Mutation mutation) noexcept { mutation_ = mutation; }

 private:
  GangMember* Find(WorkerId worker);
  bool RecordAnswer(const GangMember& member, const TaskUpdate& update,
                    UpdateSource source);
  void RecordState(GangMember& member, TaskState state);
  void ReleaseIfAllHeld(TimePoint now, EffectList& effects);
  void Release(GangMember& member, TimePoint now, EffectList& effects);
  void SendStop(GangMember& member, TimePoint now, EffectList& effects);
  void Resend(GangMember& member, TimePoint now, EffectList& effects);
  void HandleReleaseFailure(GangMember& member, Reason reason, TimePoint now);
  [[nodiscard]] std::optional<Reason> FailureReason() const;
  [[nodiscard]] bool AllSucceeded() const;
  [[nodiscard]] bool AwaitsAnswer() const;

  CallId call_;
  Attempt attempt_;
  GangPhase phase_;
  std::vector<GangMember> members_;
  std::optional<Answer> answer_;
  bool answer_lost_ = false;
  bool ordered_by_this_owner_ = false;
  StopMode stop_mode_ = StopMode::kAbort;
  Reason reason_ = Reason::kWorkerLost;
  TimePoint stop_started_at_;
  /// End of the wait for all holds, for the first update, or for the answer.
  std::optional<TimePoint> wait_deadline_;
  Mutation mutation_ = Mutation::kNone;
};

/// @return whether the member no longer occupies its accelerators.
[[nodiscard]] bool HasEnded(const GangMember& member) noexcept;

/// @return whether the member may have run some of the call. kNeverStarted of a
///     stopped member is trusted only if it was not released before the stop: a
///     restarted worker reports every task as kNeverStarted.
[[nodiscard]] bool MayHaveStarted(const GangMember& member) noexcept;

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_GANG_RUN_H_
