#include "gang_run.h"

#include <algorithm>
#include <utility>

#include "invariant.h"
#include "timer_queue.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kInitialResendDelay = 200ms;
constexpr std::uint32_t kMaxBackoffSteps = 5;
constexpr Duration kOrderTimeout = 10s;
constexpr Duration kCheckpointTimeout = 10s;
constexpr Duration kAnswerTimeout = 30s;
/// The last 1 / kHoldMarginDivisor of a hold is reserved for the delivery of
/// the release.
constexpr int kHoldMarginDivisor = 4;

Duration Backoff(std::uint32_t send_count) {
  return kInitialResendDelay * (1U << std::min(send_count, kMaxBackoffSteps));
}

/// Order of a task's states; updates only advance it.
int Progress(TaskState state) {
  if (HasEnded(state)) return 2;
  return state == TaskState::kRunning ? 1 : 0;
}

}  // namespace

bool HasEnded(const GangMember& member) noexcept {
  return member.refused || member.lost ||
         (member.last_state && HasEnded(*member.last_state));
}

bool MayHaveStarted(const GangMember& member) noexcept {
  if (member.refused || !member.released) return false;
  const bool never_started = member.last_state == TaskState::kNeverStarted;
  return !never_started || member.stopped_after_release;
}

GangRun::GangRun(const CallId& call, Attempt attempt, GangPhase phase,
                 std::vector<GangMember> members)
    : call_(call),
      attempt_(attempt),
      phase_(phase),
      members_(std::move(members)) {}

TaskRef GangRun::RefOf(const GangMember& member) const {
  return TaskRef{call_, attempt_, member.allocation.worker};
}

bool GangRun::Contains(const TaskRef& task) const {
  return std::any_of(
      members_.begin(), members_.end(),
      [&](const GangMember& member) { return RefOf(member) == task; });
}

GangMember* GangRun::Find(WorkerId worker) {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [&](const GangMember& member) {
                                    return member.allocation.worker == worker;
                                  });
  return found == members_.end() ? nullptr : &*found;
}

void GangRun::SendOrders(const CallRequest& request,
                         const OrderParameters& parameters, TimePoint now,
                         EffectList& effects) {
  Require(!parameters.start_now || members_.size() == 1,
          "only a gang of one worker starts without a hold");
  ordered_by_this_owner_ = true;
  phase_ = parameters.start_now ? GangPhase::kReleased : GangPhase::kPreparing;
  wait_deadline_ =
      parameters.start_now
          ? now + kOrderTimeout
          : now + parameters.hold - parameters.hold / kHoldMarginDivisor;
  for (std::size_t rank = 0; rank < members_.size(); ++rank) {
    GangMember& member = members_[rank];
    member.epoch = parameters.epoch;
    member.released = parameters.start_now;
    TaskOrder order;
    order.task = RefOf(member);
    order.cell = parameters.cell;
    order.epoch = parameters.epoch;
    order.service = request.key.service;
    order.account = request.key.account;
    order.rank = static_cast<std::uint32_t>(rank);
    order.gang_workers = static_cast<std::uint32_t>(members_.size());
    order.accelerators = member.allocation.accelerators;
    order.hold = parameters.hold;
    order.start_now = parameters.start_now;
    order.body = request.body;
    effects.emplace_back(OrderTask{std::move(order)});
  }
}

UpdateResult GangRun::ApplyUpdate(const TaskUpdate& update, UpdateSource source,
                                  Epoch current_epoch, TimePoint now,
                                  EffectList& effects) {
  GangMember* member = Find(update.task.worker);
  if (member == nullptr || update.task.attempt != attempt_) {
    return UpdateResult::kStale;
  }
  const bool epoch_matches = !member->epoch || update.epoch == *member->epoch ||
                             update.epoch == current_epoch;
  if (!epoch_matches) return UpdateResult::kStale;

  const bool answer_changed = RecordAnswer(*member, update, source);
  const bool state_advances =
      !HasEnded(*member) &&
      (!member->last_state ||
       Progress(update.state) > Progress(*member->last_state));
  if (!state_advances && !answer_changed) return UpdateResult::kStale;
  if (state_advances) RecordState(*member, update.state);
  Advance(now, effects);
  return UpdateResult::kApplied;
}

bool GangRun::RecordAnswer(const GangMember& member, const TaskUpdate& update,
                           UpdateSource source) {
  const bool wanted = &member == &members_.front() && !answer_ &&
                      !answer_lost_ && update.state == TaskState::kSucceeded;
  if (!wanted || (!update.answer && source == UpdateSource::kReport)) {
    return false;
  }
  answer_ = update.answer;
  answer_lost_ = !update.answer;
  return true;
}

void GangRun::RecordState(GangMember& member, TaskState state) {
  member.last_state = state;
  // A running member was released, by this owner or an earlier one.
  if (HasStarted(state)) member.released = true;
  if (phase_ != GangPhase::kStopping || HasEnded(member)) {
    member.send_count = 0;
    member.resend_at.reset();
  }
}

UpdateResult GangRun::HandleOrderFailure(const TaskOrderFailed& failure,
                                         TimePoint now, EffectList& effects) {
  GangMember* member = Find(failure.task.worker);
  if (member == nullptr || failure.task.attempt != attempt_) {
    return UpdateResult::kStale;
  }
  const bool answer_failed = failure.verdict == Verdict::kRan &&
                             member == &members_.front() && !answer_;
  if (answer_failed) {
    answer_lost_ = true;
    if (!HasEnded(*member)) member->last_state = TaskState::kSucceeded;
    member->released = true;
    Advance(now, effects);
    return UpdateResult::kApplied;
  }
  if (HasEnded(*member)) return UpdateResult::kStale;
  // Once a stop was sent, only its response shows how the member ended.
  if (phase_ == GangPhase::kStopping) return UpdateResult::kApplied;
  if (member->last_state) {
    if (!member->released) return UpdateResult::kStale;
    HandleReleaseFailure(*member, failure.reason, now);
    Advance(now, effects);
  } else if (!ordered_by_this_owner_) {
    return UpdateResult::kStale;
  } else if (failure.verdict == Verdict::kNotRun) {
    member->refused = true;
    reason_ = failure.reason;
    Advance(now, effects);
  } else {
    Stop(StopMode::kStop, failure.reason, now, effects);
  }
  return UpdateResult::kApplied;
}

void GangRun::HandleReleaseFailure(GangMember& member, Reason reason,
                                   TimePoint now) {
  if (reason == Reason::kNotFound) {
    member.lost = true;
  } else if (reason == Reason::kHoldExpired &&
             member.last_state == TaskState::kHeld) {
    member.last_state = TaskState::kNeverStarted;
  } else if (member.last_state == TaskState::kHeld) {
    member.resend_at = now + Backoff(member.send_count);
  }
}

void GangRun::HandleWorkerLost(WorkerId worker, TimePoint now,
                               EffectList& effects) {
  GangMember* member = Find(worker);
  if (member == nullptr) return;
  if (!HasEnded(*member)) {
    member->lost = true;
  } else if (member == &members_.front() && !answer_) {
    answer_lost_ = true;
  }
  Advance(now, effects);
}

void GangRun::HandleUnlistedTask(WorkerId worker, TimePoint now,
                                 EffectList& effects) {
  GangMember* member = Find(worker);
  if (member == nullptr || HasEnded(*member)) return;
  if (!member->last_state && ordered_by_this_owner_) return;
  if (!member->last_state) {
    // An earlier owner sent the order; the worker refuses it now.
    member->lost = true;
    Advance(now, effects);
  } else if (phase_ == GangPhase::kReleased && member->released) {
    // A worker that received the release ignores the repeat.
    Release(*member, now, effects);
  } else {
    Stop(StopMode::kStop, Reason::kWorkerLost, now, effects);
  }
}

std::optional<Reason> GangRun::FailureReason() const {
  for (const GangMember& member : members_) {
    if (member.refused) return reason_;
    if (member.lost) return Reason::kWorkerLost;
    if (!member.last_state) continue;
    const bool not_released =
        phase_ == GangPhase::kReleased && !member.released;
    switch (*member.last_state) {
      case TaskState::kFailed:
        return Reason::kEndpointFailed;
      case TaskState::kStopped:
        return Reason::kGangMemberLost;
      case TaskState::kNeverStarted:
        return Reason::kHoldExpired;
      case TaskState::kHeld:
        if (not_released) return Reason::kHoldExpired;
        break;
      case TaskState::kRunning:
      case TaskState::kSucceeded:
        // Running without a release from this run: belongs to another run.
        if (phase_ == GangPhase::kPreparing) return Reason::kGangMemberLost;
        break;
    }
  }
  return std::nullopt;
}

void GangRun::Advance(TimePoint now, EffectList& effects) {
  if (AwaitsAnswer() && !wait_deadline_) wait_deadline_ = now + kAnswerTimeout;
  if (phase_ == GangPhase::kStopping) return;
  if (const std::optional<Reason> failure = FailureReason()) {
    Stop(StopMode::kStop, *failure, now, effects);
  } else if (phase_ == GangPhase::kPreparing) {
    ReleaseIfAllHeld(now, effects);
  }
}

void GangRun::ReleaseIfAllHeld(TimePoint now, EffectList& effects) {
  const auto is_held = [](const GangMember& member) {
    return member.last_state == TaskState::kHeld;
  };
  if (mutation_ == Mutation::kReleaseBeforeAllHeld) {
    if (!std::any_of(members_.begin(), members_.end(), is_held)) return;
  } else if (!std::all_of(members_.begin(), members_.end(), is_held)) {
    return;
  }
  if (now > *wait_deadline_) {
    Stop(StopMode::kAbort, Reason::kHoldExpired, now, effects);
    return;
  }
  phase_ = GangPhase::kReleased;
  wait_deadline_.reset();
  for (GangMember& member : members_) Release(member, now, effects);
}

void GangRun::Release(GangMember& member, TimePoint now, EffectList& effects) {
  Require(phase_ == GangPhase::kReleased, "a part is released with its gang");
  member.released = true;
  member.resend_at = now + Backoff(member.send_count);
  ++member.send_count;
  effects.emplace_back(ReleaseTask{RefOf(member)});
}

void GangRun::Stop(StopMode mode, Reason reason, TimePoint now,
                   EffectList& effects) {
  if (phase_ == GangPhase::kStopping && mode <= stop_mode_) return;
  if (phase_ != GangPhase::kStopping) {
    reason_ = reason;
    stop_started_at_ = now;
  }
  phase_ = GangPhase::kStopping;
  stop_mode_ = mode;
  wait_deadline_.reset();
  for (GangMember& member : members_) {
    if (HasEnded(member)) continue;
    member.send_count = 0;
    SendStop(member, now, effects);
  }
}

void GangRun::SendStop(GangMember& member, TimePoint now, EffectList& effects) {
  const bool overdue = now - stop_started_at_ > kCheckpointTimeout;
  StopMode mode = member.released ? stop_mode_ : StopMode::kAbort;
  if (member.released && (mode != StopMode::kCheckpoint || overdue)) {
    mode = StopMode::kStop;
  }
  if (member.released) member.stopped_after_release = true;
  member.resend_at = now + Backoff(member.send_count);
  ++member.send_count;
  effects.emplace_back(StopTask{RefOf(member), mode});
}

void GangRun::HandleTimer(TimePoint now, EffectList& effects) {
  if (wait_deadline_ && now > *wait_deadline_) {
    wait_deadline_.reset();
    const bool unanswered = std::any_of(
        members_.begin(), members_.end(), [](const GangMember& member) {
          return !member.last_state && !HasEnded(member);
        });
    if (AwaitsAnswer()) {
      answer_lost_ = true;
    } else if (phase_ == GangPhase::kPreparing) {
      Stop(StopMode::kAbort, Reason::kHoldExpired, now, effects);
    } else if (unanswered) {
      Stop(StopMode::kStop, Reason::kWorkerUnreachable, now, effects);
    }
  }
  for (GangMember& member : members_) {
    if (member.resend_at && *member.resend_at <= now)
      Resend(member, now, effects);
  }
}

void GangRun::Resend(GangMember& member, TimePoint now, EffectList& effects) {
  member.resend_at.reset();
  if (HasEnded(member)) return;
  if (phase_ == GangPhase::kStopping) {
    SendStop(member, now, effects);
  } else if (phase_ == GangPhase::kReleased) {
    Release(member, now, effects);
  }
}

std::optional<TimePoint> GangRun::next_timer() const {
  // The wait ends after `wait_deadline_`, not at it.
  std::optional<TimePoint> next;
  if (wait_deadline_) next = *wait_deadline_ + 1us;
  for (const GangMember& member : members_)
    next = Earlier(next, member.resend_at);
  return next;
}

bool GangRun::AllSucceeded() const {
  return std::all_of(members_.begin(), members_.end(),
                     [](const GangMember& member) {
                       return member.last_state == TaskState::kSucceeded;
                     });
}

bool GangRun::AwaitsAnswer() const {
  return AllSucceeded() && !answer_ && !answer_lost_;
}

bool GangRun::ended() const {
  return std::all_of(
             members_.begin(), members_.end(),
             [](const GangMember& member) { return HasEnded(member); }) &&
         !AwaitsAnswer();
}

Verdict GangRun::verdict() const {
  const bool failed = std::any_of(
      members_.begin(), members_.end(), [](const GangMember& member) {
        return member.last_state == TaskState::kFailed;
      });
  if (failed || AllSucceeded()) return Verdict::kRan;
  const bool may_have_started = std::any_of(
      members_.begin(), members_.end(),
      [](const GangMember& member) { return MayHaveStarted(member); });
  return may_have_started ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

GangResult GangRun::result() const {
  Require(ended(), "a run has a result only once every part has ended");
  GangResult result;
  result.verdict = verdict();
  result.reason = reason_;
  if (AllSucceeded()) {
    result.answer = answer_;
    result.reason = Reason::kAnswerDamaged;
  }
  return result;
}

}  // namespace jasminespar::cell
