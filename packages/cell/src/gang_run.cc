#include "gang_run.h"

#include <algorithm>
#include <utility>

#include "invariant.h"
#include "timer_queue.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kFirstResend = 200ms;
constexpr std::uint32_t kMaxBackoffSteps = 5;
constexpr Duration kOrderTimeout = 10s;
constexpr Duration kCheckpointTime = 10s;
constexpr Duration kAnswerTimeout = 30s;
/// Fraction of a hold that is left for the release to travel.
constexpr int kHoldMarginDivisor = 4;

Duration Backoff(std::uint32_t sends) {
  return kFirstResend * (1U << std::min(sends, kMaxBackoffSteps));
}

/// Position of a state in the life of a task; words only move it forward.
int Progress(TaskState state) {
  if (HasEnded(state)) return 2;
  return state == TaskState::kRunning ? 1 : 0;
}

}  // namespace

bool HasEnded(const GangPart& part) noexcept {
  return part.refused || part.lost || (part.known && HasEnded(*part.known));
}

bool MayHaveStarted(const GangPart& part) noexcept {
  if (part.refused || !part.released) return false;
  const bool never_started = part.known == TaskState::kNeverStarted;
  return !never_started || part.stopped_after_release;
}

GangRun::GangRun(const CallId& call, Attempt attempt, GangPhase phase,
                 std::vector<GangPart> parts)
    : call_(call), attempt_(attempt), phase_(phase), parts_(std::move(parts)) {}

TaskRef GangRun::RefOf(const GangPart& part) const {
  return TaskRef{call_, attempt_, part.allocation.worker};
}

bool GangRun::Contains(const TaskRef& task) const {
  return std::any_of(parts_.begin(), parts_.end(),
                     [&](const GangPart& part) { return RefOf(part) == task; });
}

GangPart* GangRun::Find(WorkerId worker) {
  const auto found = std::find_if(
      parts_.begin(), parts_.end(),
      [&](const GangPart& part) { return part.allocation.worker == worker; });
  return found == parts_.end() ? nullptr : &*found;
}

void GangRun::Order(const CallRequest& request, const OrderTerms& terms,
                    TimePoint now, EffectList& effects) {
  Require(!terms.start_now || parts_.size() == 1,
          "only a gang of one worker starts without a hold");
  ordered_by_this_owner_ = true;
  phase_ = terms.start_now ? GangPhase::kReleased : GangPhase::kPreparing;
  give_up_at_ = terms.start_now
                    ? now + kOrderTimeout
                    : now + terms.hold - terms.hold / kHoldMarginDivisor;
  for (std::size_t rank = 0; rank < parts_.size(); ++rank) {
    GangPart& part = parts_[rank];
    part.epoch = terms.epoch;
    part.released = terms.start_now;
    TaskOrder order;
    order.task = RefOf(part);
    order.cell = terms.cell;
    order.epoch = terms.epoch;
    order.service = request.key.service;
    order.account = request.key.account;
    order.rank = static_cast<std::uint32_t>(rank);
    order.gang_workers = static_cast<std::uint32_t>(parts_.size());
    order.accelerators = part.allocation.accelerators;
    order.hold = terms.hold;
    order.start_now = terms.start_now;
    order.body = request.body;
    effects.emplace_back(OrderTask{std::move(order)});
  }
}

WordEffect GangRun::Take(const TaskChanged& word, WordSource source,
                         Epoch current, TimePoint now, EffectList& effects) {
  GangPart* part = Find(word.task.worker);
  if (part == nullptr || word.task.attempt != attempt_) {
    return WordEffect::kStale;
  }
  const bool epoch_matches =
      !part->epoch || word.epoch == *part->epoch || word.epoch == current;
  if (!epoch_matches) return WordEffect::kStale;

  const bool is_news = TakeAnswer(*part, word, source);
  const bool moves =
      !HasEnded(*part) &&
      (!part->known || Progress(word.state) > Progress(*part->known));
  if (!moves && !is_news) return WordEffect::kStale;
  if (moves) TakeState(*part, word.state);
  Advance(now, effects);
  return WordEffect::kTaken;
}

bool GangRun::TakeAnswer(const GangPart& part, const TaskChanged& word,
                         WordSource source) {
  const bool wanted = &part == &parts_.front() && !answer_ && !answer_lost_ &&
                      word.state == TaskState::kSucceeded;
  if (!wanted || (!word.answer && source == WordSource::kReport)) return false;
  answer_ = word.answer;
  answer_lost_ = !word.answer;
  return true;
}

void GangRun::TakeState(GangPart& part, TaskState state) {
  part.known = state;
  // A part that runs was released, whoever did it.
  if (HasStarted(state)) part.released = true;
  if (phase_ != GangPhase::kStopping || HasEnded(part)) {
    part.sends = 0;
    part.resend_at.reset();
  }
}

WordEffect GangRun::TakeFailure(const TaskOrderFailed& failure, TimePoint now,
                                EffectList& effects) {
  GangPart* part = Find(failure.task.worker);
  if (part == nullptr || failure.task.attempt != attempt_) {
    return WordEffect::kStale;
  }
  const bool answer_failed =
      failure.verdict == Verdict::kRan && part == &parts_.front() && !answer_;
  if (answer_failed) {
    answer_lost_ = true;
    if (!HasEnded(*part)) part->known = TaskState::kSucceeded;
    part->released = true;
    Advance(now, effects);
    return WordEffect::kTaken;
  }
  if (HasEnded(*part)) return WordEffect::kStale;
  // Once a stop is on its way, only its answer tells how the part ended.
  if (phase_ == GangPhase::kStopping) return WordEffect::kTaken;
  if (part->known) {
    if (!part->released) return WordEffect::kStale;
    TakeReleaseFailure(*part, failure.reason, now);
    Advance(now, effects);
  } else if (!ordered_by_this_owner_) {
    return WordEffect::kStale;
  } else if (failure.verdict == Verdict::kNotRun) {
    part->refused = true;
    reason_ = failure.reason;
    Advance(now, effects);
  } else {
    Stop(StopMode::kStop, failure.reason, now, effects);
  }
  return WordEffect::kTaken;
}

void GangRun::TakeReleaseFailure(GangPart& part, Reason reason, TimePoint now) {
  if (reason == Reason::kNotFound) {
    part.lost = true;
  } else if (reason == Reason::kHoldExpired && part.known == TaskState::kHeld) {
    part.known = TaskState::kNeverStarted;
  } else if (part.known == TaskState::kHeld) {
    part.resend_at = now + Backoff(part.sends);
  }
}

void GangRun::LoseWorker(WorkerId worker, TimePoint now, EffectList& effects) {
  GangPart* part = Find(worker);
  if (part == nullptr) return;
  if (!HasEnded(*part)) {
    part->lost = true;
  } else if (part == &parts_.front() && !answer_) {
    answer_lost_ = true;
  }
  Advance(now, effects);
}

void GangRun::MissPart(WorkerId worker, TimePoint now, EffectList& effects) {
  GangPart* part = Find(worker);
  if (part == nullptr || HasEnded(*part)) return;
  if (!part->known && ordered_by_this_owner_) return;
  if (!part->known) {
    part->lost = true;  // The order came from an earlier owner: now refused.
    Advance(now, effects);
  } else if (phase_ == GangPhase::kReleased && part->released) {
    Release(*part, now, effects);  // Changes nothing at a worker that has it.
  } else {
    Stop(StopMode::kStop, Reason::kWorkerLost, now, effects);
  }
}

std::optional<Reason> GangRun::Breakage() const {
  for (const GangPart& part : parts_) {
    if (part.refused) return reason_;
    if (part.lost) return Reason::kWorkerLost;
    if (!part.known) continue;
    const bool not_released = phase_ == GangPhase::kReleased && !part.released;
    switch (*part.known) {
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
        // Running without our release: a part of some other run.
        if (phase_ == GangPhase::kPreparing) return Reason::kGangMemberLost;
        break;
    }
  }
  return std::nullopt;
}

void GangRun::Advance(TimePoint now, EffectList& effects) {
  if (AwaitsAnswer() && !give_up_at_) give_up_at_ = now + kAnswerTimeout;
  if (phase_ == GangPhase::kStopping) return;
  if (const std::optional<Reason> breakage = Breakage()) {
    Stop(StopMode::kStop, *breakage, now, effects);
  } else if (phase_ == GangPhase::kPreparing) {
    AdvancePreparing(now, effects);
  }
}

void GangRun::AdvancePreparing(TimePoint now, EffectList& effects) {
  const auto is_held = [](const GangPart& part) {
    return part.known == TaskState::kHeld;
  };
  if (mutation_ == Mutation::kReleaseBeforeAllHeld) {
    if (!std::any_of(parts_.begin(), parts_.end(), is_held)) return;
  } else if (!std::all_of(parts_.begin(), parts_.end(), is_held)) {
    return;
  }
  if (now > *give_up_at_) {
    Stop(StopMode::kAbort, Reason::kHoldExpired, now, effects);
    return;
  }
  phase_ = GangPhase::kReleased;
  give_up_at_.reset();
  for (GangPart& part : parts_) Release(part, now, effects);
}

void GangRun::Release(GangPart& part, TimePoint now, EffectList& effects) {
  Require(phase_ == GangPhase::kReleased, "a part is released with its gang");
  part.released = true;
  part.resend_at = now + Backoff(part.sends);
  ++part.sends;
  effects.emplace_back(ReleaseTask{RefOf(part)});
}

void GangRun::Stop(StopMode mode, Reason reason, TimePoint now,
                   EffectList& effects) {
  if (phase_ == GangPhase::kStopping && mode <= stop_mode_) return;
  if (phase_ != GangPhase::kStopping) {
    reason_ = reason;
    stop_began_ = now;
  }
  phase_ = GangPhase::kStopping;
  stop_mode_ = mode;
  give_up_at_.reset();
  for (GangPart& part : parts_) {
    if (HasEnded(part)) continue;
    part.sends = 0;
    SendStop(part, now, effects);
  }
}

void GangRun::SendStop(GangPart& part, TimePoint now, EffectList& effects) {
  const bool overdue = now - stop_began_ > kCheckpointTime;
  StopMode mode = part.released ? stop_mode_ : StopMode::kAbort;
  if (part.released && (mode != StopMode::kCheckpoint || overdue)) {
    mode = StopMode::kStop;
  }
  if (part.released) part.stopped_after_release = true;
  part.resend_at = now + Backoff(part.sends);
  ++part.sends;
  effects.emplace_back(StopTask{RefOf(part), mode});
}

void GangRun::Wake(TimePoint now, EffectList& effects) {
  if (give_up_at_ && now > *give_up_at_) {
    give_up_at_.reset();
    const bool unanswered = std::any_of(
        parts_.begin(), parts_.end(),
        [](const GangPart& part) { return !part.known && !HasEnded(part); });
    if (AwaitsAnswer()) {
      answer_lost_ = true;
    } else if (phase_ == GangPhase::kPreparing) {
      Stop(StopMode::kAbort, Reason::kHoldExpired, now, effects);
    } else if (unanswered) {
      Stop(StopMode::kStop, Reason::kWorkerUnreachable, now, effects);
    }
  }
  for (GangPart& part : parts_) {
    if (part.resend_at && *part.resend_at <= now) Repeat(part, now, effects);
  }
}

void GangRun::Repeat(GangPart& part, TimePoint now, EffectList& effects) {
  part.resend_at.reset();
  if (HasEnded(part)) return;
  if (phase_ == GangPhase::kStopping) {
    SendStop(part, now, effects);
  } else if (phase_ == GangPhase::kReleased) {
    Release(part, now, effects);
  }
}

std::optional<TimePoint> GangRun::next_wake() const {
  // `give_up_at_` itself is still in time; the first instant after it is not.
  std::optional<TimePoint> next;
  if (give_up_at_) next = *give_up_at_ + 1us;
  for (const GangPart& part : parts_) next = Earlier(next, part.resend_at);
  return next;
}

bool GangRun::AllSucceeded() const {
  return std::all_of(parts_.begin(), parts_.end(), [](const GangPart& part) {
    return part.known == TaskState::kSucceeded;
  });
}

bool GangRun::AwaitsAnswer() const {
  return AllSucceeded() && !answer_ && !answer_lost_;
}

bool GangRun::ended() const {
  return std::all_of(parts_.begin(), parts_.end(),
                     [](const GangPart& part) { return HasEnded(part); }) &&
         !AwaitsAnswer();
}

Verdict GangRun::verdict() const {
  const bool failed = std::any_of(
      parts_.begin(), parts_.end(),
      [](const GangPart& part) { return part.known == TaskState::kFailed; });
  if (failed || AllSucceeded()) return Verdict::kRan;
  const bool may_have_started =
      std::any_of(parts_.begin(), parts_.end(),
                  [](const GangPart& part) { return MayHaveStarted(part); });
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
