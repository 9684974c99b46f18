/// @file
/// One attempt of a call: its parts on their workers, from the first order
/// to the last word that a part has ended.

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
    {GangPhase::kPreparing, "preparing", "Not every part is held yet."},
    {GangPhase::kReleased, "released", "Every part was told to run."},
    {GangPhase::kStopping, "stopping", "Every part was told to stop."},
}};
static_assert(IsDense(kGangPhaseNames));

/// Where a word comes from; a report lists states only.
enum class WordSource : std::uint8_t { kTask, kReport };

/// What a message did to a run.
enum class WordEffect : std::uint8_t { kStale, kTaken };

/// One part of the gang, as far as its worker's words tell.
struct GangPart {
  scheduling::Allocation allocation;
  std::optional<Epoch> epoch;      ///< Of its order; nothing when unknown.
  std::optional<TaskState> known;  ///< The worker's last word.
  bool released =
      false;             ///< It may run: a release or immediate start was sent.
  bool refused = false;  ///< Its order can never take effect.
  bool lost = false;     ///< Its worker runs nothing of ours any more.
  bool stopped_after_release = false;
  std::uint32_t sends = 0;             ///< Repeats of the latest request.
  std::optional<TimePoint> resend_at;  ///< When to repeat it.
};

/// What became of an attempt whose parts have all ended.
struct GangResult {
  std::optional<Answer> answer;  ///< Only when every part succeeded.
  Reason reason = Reason::kWorkerLost;
  Verdict verdict = Verdict::kNotRun;
};

/// What the parts of a fresh attempt are ordered with.
struct OrderTerms {
  CellId cell;
  Epoch epoch;
  Duration hold{};
  bool start_now = false;
};

class GangRun {
 public:
  /// @param parts in rank order.
  GangRun(const CallId& call, Attempt attempt, GangPhase phase,
          std::vector<GangPart> parts);

  /// Sends the orders of a fresh attempt.
  void Order(const CallRequest& request, const OrderTerms& terms, TimePoint now,
             EffectList& effects);

  /// Takes a worker's word. Its epoch is that of the order, or of the request
  /// that the word answers. A success of rank 0 without an answer means that
  /// the answer is lost, unless it is only listed in a report.
  WordEffect Take(const TaskUpdate& word, WordSource source, Epoch current,
                  TimePoint now, EffectList& effects);
  WordEffect TakeFailure(const TaskOrderFailed& failure, TimePoint now,
                         EffectList& effects);

  /// The worker runs nothing of ours any more.
  void LoseWorker(WorkerId worker, TimePoint now, EffectList& effects);

  /// The worker's full report does not list the part. One whose order may
  /// still be on its way is left alone; others are asked for or are lost.
  void MissPart(WorkerId worker, TimePoint now, EffectList& effects);

  /// Stops every part that has not ended. A repeat may only become stricter.
  void Stop(StopMode mode, Reason reason, TimePoint now, EffectList& effects);

  /// Performs what is due, such as repeating a request.
  void Wake(TimePoint now, EffectList& effects);

  /// Moves on after parts were changed from outside.
  void Advance(TimePoint now, EffectList& effects);

  [[nodiscard]] std::optional<TimePoint> next_wake() const;

  /// @return whether every part is known to have ended, and the answer of a
  ///     whole success is here or known to be lost.
  [[nodiscard]] bool ended() const;
  [[nodiscard]] GangResult result() const;

  /// @return what can be said now about a run of this attempt.
  [[nodiscard]] Verdict verdict() const;

  [[nodiscard]] GangPhase phase() const noexcept { return phase_; }
  [[nodiscard]] Attempt attempt() const noexcept { return attempt_; }
  [[nodiscard]] const std::vector<GangPart>& parts() const noexcept {
    return parts_;
  }
  [[nodiscard]] TaskRef RefOf(const GangPart& part) const;
  /// @return whether the task is a part of this run.
  [[nodiscard]] bool Contains(const TaskRef& task) const;

  /// Switches a rule off; only for tests.
  void set_mutation(Mutation mutation) noexcept { mutation_ = mutation; }

 private:
  GangPart* Find(WorkerId worker);
  bool TakeAnswer(const GangPart& part, const TaskUpdate& word,
                  WordSource source);
  void TakeState(GangPart& part, TaskState state);
  void AdvancePreparing(TimePoint now, EffectList& effects);
  void Release(GangPart& part, TimePoint now, EffectList& effects);
  void SendStop(GangPart& part, TimePoint now, EffectList& effects);
  void Repeat(GangPart& part, TimePoint now, EffectList& effects);
  void TakeReleaseFailure(GangPart& part, Reason reason, TimePoint now);
  [[nodiscard]] std::optional<Reason> Breakage() const;
  [[nodiscard]] bool AllSucceeded() const;
  [[nodiscard]] bool AwaitsAnswer() const;

  CallId call_;
  Attempt attempt_;
  GangPhase phase_;
  std::vector<GangPart> parts_;
  std::optional<Answer> answer_;
  bool answer_lost_ = false;
  bool ordered_by_this_owner_ = false;
  StopMode stop_mode_ = StopMode::kAbort;
  Reason reason_ = Reason::kWorkerLost;
  TimePoint stop_began_;
  /// End of waiting to be held, for the first word, or for the answer.
  std::optional<TimePoint> give_up_at_;
  Mutation mutation_ = Mutation::kNone;
};

/// @return whether the part no longer occupies its accelerators.
[[nodiscard]] bool HasEnded(const GangPart& part) noexcept;

/// @return whether some of the call may have run in this part. A word that a
///     stopped part never started counts only if it was not released before:
///     a worker that restarted says so of every task.
[[nodiscard]] bool MayHaveStarted(const GangPart& part) noexcept;

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_GANG_RUN_H_
