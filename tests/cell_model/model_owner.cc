#include "cell_model/model_owner.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::cell_model {
namespace {

constexpr Duration kPollInterval = 400ms;
constexpr Duration kLazyWrite = 50ms;
constexpr Duration kStoreRetry = 100ms;
constexpr Duration kRequestTimeout = 500ms;
constexpr Duration kSilence = 3s;
/// The longest that a message may take and still arrive.
constexpr Duration kLongestTravel = 2s;

}  // namespace

cell::Now Site::Now() const {
  const TimePoint now = timeline.now();
  return {now, {1'000'000'000 + ToMilliseconds(now.time_since_epoch())}};
}

ModelOwner::ModelOwner(Site& site) : site_(site), epoch_(site.store.Claim()) {
  ++site_.auditor.tally.owners;
  configuration::ClientAccount account;
  account.id = {"school"};
  cell_ = std::make_unique<cell::Cell>(
      site.settings, epoch_, site.topology,
      configuration::CellShare{Revision{1}, {account}},
      cell::RecoveredState{site.store.records()}, site.Now());
}

void ModelOwner::Begin() {
  for (const auto& [id, worker] : site_.workers) {
    polls_[id].heard = site_.timeline.now();
    PollLoop(id);
  }
  ArmTick();
}

void ModelOwner::Later(Duration delay, std::function<void()> event) {
  site_.timeline.After(delay,
                       [self = shared_from_this(), event = std::move(event)] {
                         if (!self->alive_) return;
                         if (self->paused_) {
                           self->deferred_.push_back(event);
                         } else {
                           event();
                         }
                       });
}

void ModelOwner::Pause(Duration time) {
  if (paused_) return;
  paused_ = true;
  site_.timeline.After(time, [self = shared_from_this()] {
    self->paused_ = false;
    while (self->alive_ && !self->paused_ && !self->deferred_.empty()) {
      const auto event = std::move(self->deferred_.front());
      self->deferred_.pop_front();
      event();
    }
  });
}

void ModelOwner::Give(cell::Input input) {
  if (!alive_) return;
  if (paused_) {
    deferred_.emplace_back([this, input = std::move(input)] { Handle(input); });
  } else {
    Handle(std::move(input));
  }
}

void ModelOwner::Handle(cell::Input input) {
  ++site_.steps;
  const std::vector<cell::Effect> effects =
      cell_->Handle(std::move(input), site_.Now());
  // A pause may come between deciding and doing.
  if (site_.faults && site_.timeline.Uniform(0, 49'999) == 0) {
    Pause(site_.timeline.Between(50ms, 8s));
  }
  if (paused_) {
    // Before all that was deferred earlier: effects keep their order.
    deferred_.emplace_front([this, effects] {
      for (const cell::Effect& effect : effects) Perform(effect);
    });
  } else {
    for (const cell::Effect& effect : effects) Perform(effect);
  }
  ArmTick();
}

void ModelOwner::ArmTick() {
  const auto next = cell_->NextTick(site_.timeline.now());
  if (!next || *next >= next_tick_) return;
  next_tick_ = *next;
  const Duration delay = std::max<Duration>(0us, *next - site_.timeline.now());
  Later(delay, [this, at = *next] {
    if (at != next_tick_) return;
    next_tick_ = TimePoint::max();
    Handle(cell::Tick{});
  });
}

void ModelOwner::Perform(const cell::Effect& effect) {
  std::visit(
      Overloaded{
          [&](const cell::SendReply& reply) {
            site_.auditor.OnReply(reply.token, reply.reply);
          },
          [&](const cell::AppendJournal& append) { Append(append); },
          [&](const cell::OrderTask& order) {
            Send(order.order.task, true,
                 [order = order.order](ModelWorker& worker) {
                   return worker.Order(order);
                 });
          },
          [&](const cell::ReleaseTask& release) {
            Send(release.task, true,
                 [task = release.task, epoch = epoch_](ModelWorker& worker) {
                   return worker.Release(task, epoch);
                 });
          },
          [&](const cell::StopTask& stop) {
            Send(stop.task, false,
                 [task = stop.task, epoch = epoch_](ModelWorker& worker) {
                   return worker.Stop(task, epoch);
                 });
          },
          [&](const cell::ForgetTask& forget) {
            site_.timeline.After(site_.timeline.Travel(site_.faults),
                                 [&site = site_, task = forget.task] {
                                   ModelWorker& worker =
                                       *site.workers.at(task.worker);
                                   if (worker.reachable()) worker.Forget(task);
                                 });
          },
          [&](const cell::CountRetry&) { ++site_.auditor.tally.retries; },
          [&](const cell::CountStaleMessage&) { ++site_.auditor.tally.stale; }},
      effect);
}

void ModelOwner::Append(const cell::AppendJournal& append) {
  site_.auditor.Check(append.sequence.value == pending_through_.value + 1, {},
                      "a sequence was skipped");
  pending_.push_back(append.record);
  pending_through_ = append.sequence;
  if (!writing_) WriteSoon(append.urgent ? 0us : kLazyWrite);
}

void ModelOwner::WriteSoon(Duration delay) {
  if (write_armed_ && delay > 0us) return;
  write_armed_ = true;
  Later(delay, [this] { Write(); });
}

void ModelOwner::Write() {
  write_armed_ = false;
  if (writing_ || pending_.empty()) return;
  writing_ = true;
  Batch batch{std::exchange(pending_, {}), false, pending_through_};
  if (site_.timeline.Chance(5)) {
    batch.records = cell_->SnapshotRecords();
    batch.is_snapshot = true;
  }
  const Duration travel = site_.timeline.Between(1ms, 10ms);
  auto shared = std::make_shared<Batch>(std::move(batch));
  // Repeats until the store has spoken: a lost answer is read back.
  auto attempt = std::make_shared<std::function<void()>>();
  *attempt = [this, shared, travel, attempt_weak = std::weak_ptr(attempt),
              self = shared_from_this()] {
    const auto again = attempt_weak.lock();
    if (!site_.store.available()) {
      site_.timeline.After(kStoreRetry, [again] { (*again)(); });
      return;
    }
    const bool written = site_.store.Write(epoch_, *shared);
    const bool answer_lost = site_.faults && site_.timeline.Chance(20);
    const Duration delay = travel + (answer_lost ? 300ms : 0us);
    Later(delay, [this, written, shared, again] {
      Written(written, shared->through);
    });
  };
  site_.timeline.After(travel,
                       [attempt, self = shared_from_this()] { (*attempt)(); });
}

void ModelOwner::Written(bool took_effect, Sequence through) {
  writing_ = false;
  if (!took_effect) {
    ++site_.auditor.tally.fenced;
    Kill();  // Another owner has the cell.
    return;
  }
  if (!pending_.empty()) WriteSoon(0us);
  Handle(cell::JournalDurable{through});
}

template <typename Request>
void ModelOwner::Send(const cell::TaskRef& task, bool reports_failure,
                      Request request) {
  Timeline& timeline = site_.timeline;
  const auto fail = [this, task, reports_failure](Reason reason,
                                                  Verdict verdict) {
    if (!reports_failure) return;
    Give(cell::TaskOrderFailed{task, reason, verdict});
  };
  const bool lost = site_.faults && timeline.Chance(5);
  if (lost) {
    Later(kRequestTimeout,
          [fail] { fail(Reason::kWorkerUnreachable, Verdict::kMayHaveRun); });
    return;
  }
  const bool answer_lost = site_.faults && timeline.Chance(10);
  // The worker acts on what has arrived even if its sender is gone by then.
  timeline.After(
      timeline.Travel(site_.faults),
      [this, self = shared_from_this(), task, request, fail, answer_lost] {
        ModelWorker& worker = *site_.workers.at(task.worker);
        const Duration back = site_.timeline.Travel(site_.faults);
        if (!worker.reachable()) {
          Later(back,
                [fail] { fail(Reason::kWorkerUnreachable, Verdict::kNotRun); });
          return;
        }
        const WorkerAnswer answer = request(worker);
        if (answer_lost) {
          Later(kRequestTimeout, [fail] {
            fail(Reason::kWorkerUnreachable, Verdict::kMayHaveRun);
          });
          return;
        }
        std::visit(Overloaded{[&](cell::TaskState state) {
                                // A success is told with its answer, by a
                                // report.
                                if (state == cell::TaskState::kSucceeded) {
                                  state = cell::TaskState::kRunning;
                                }
                                Deliver({task, epoch_, state, std::nullopt});
                              },
                              [&](Reason reason) {
                                Later(back, [fail, reason] {
                                  fail(reason, Verdict::kNotRun);
                                });
                              }},
                   answer);
      });
}

void ModelOwner::Deliver(const cell::TaskUpdate& word) {
  const bool twice = site_.faults && site_.timeline.Chance(10);
  for (int i = 0; i < (twice ? 2 : 1); ++i) {
    Later(site_.timeline.Travel(site_.faults), [this, word] { Handle(word); });
  }
}

void ModelOwner::PollLoop(WorkerId worker) {
  Poll& poll = polls_[worker];
  const TimePoint now = site_.timeline.now();
  const bool silent = now - poll.heard > kSilence;
  if (silent && !poll.lapsing) {
    // No further poll renews the lease, so that it surely lapses.
    poll.lapsing = true;
    const Duration lease = site_.settings.worker_lease;
    Later(kLongestTravel + lease, [this, worker] {
      polls_[worker].lapsing = false;
      polls_[worker].heard = site_.timeline.now();
      Handle(cell::WorkerLost{worker});
    });
  }
  if (!poll.lapsing) {
    poll.sent = now;
    site_.timeline.After(
        site_.timeline.Travel(site_.faults),
        [this, worker, self = shared_from_this()] {
          ModelWorker& target = *site_.workers.at(worker);
          if (!alive_ || !target.reachable()) return;
          const auto report = target.Report(epoch_);
          if (!report) return;
          target.set_on_change(
              [this, self](const cell::TaskUpdate& word) { Deliver(word); });
          Later(
              site_.timeline.Travel(site_.faults),
              [this, worker, report = *report] { TakeReport(worker, report); });
        });
  }
  Later(kPollInterval, [this, worker] { PollLoop(worker); });
}

void ModelOwner::TakeReport(WorkerId worker,
                            const cell::WorkerReported& report) {
  Poll& poll = polls_[worker];
  if (poll.lapsing) return;
  poll.heard = site_.timeline.now();
  Handle(report);
  for (const cell::ReportedTask& task : report.tasks) {
    if (task.rank != 0 || task.state != cell::TaskState::kSucceeded) continue;
    // The answer is fetched each time that a success is reported.
    auto answer = site_.workers.at(worker)->AnswerOf(task.task);
    if (site_.faults && site_.timeline.Chance(20)) continue;
    // Fetched in vain, as often as it is tried.
    if (site_.faults && site_.timeline.Chance(5)) answer.reset();
    Deliver({task.task, task.epoch, task.state, answer});
  }
}

}  // namespace jasminespar::cell_model
