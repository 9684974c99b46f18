#include "cell_model/model_owner.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::cell_model {
namespace {

constexpr Duration kPollInterval = 400ms;
constexpr Duration kBatchDelay = 50ms;
constexpr Duration kStoreRetryInterval = 100ms;
constexpr Duration kRequestTimeout = 500ms;
constexpr Duration kReportTimeout = 3s;
/// Upper bound of Timeline::MessageDelay.
constexpr Duration kMaxMessageDelay = 2s;

}  // namespace

cell::Now Site::Now() const {
  const TimePoint now = timeline.now();
  return {now, {1'000'000'000 + ToMilliseconds(now.time_since_epoch())}};
}

ModelOwner::ModelOwner(Site& site) : site_(site), epoch_(site.store.Claim()) {
  ++site_.checker.counts.owners;
  configuration::ClientAccount account;
  account.id = {"school"};
  cell_ = std::make_unique<cell::Cell>(
      site.settings, epoch_, site.topology,
      configuration::CellShare{Revision{1}, {account}},
      cell::RecoveredState{site.store.records()}, site.Now());
}

void ModelOwner::Start() {
  for (const auto& [id, worker] : site_.workers) {
    polls_[id].last_report = site_.timeline.now();
    PollWorker(id);
  }
  ScheduleTick();
}

void ModelOwner::RunAfter(Duration delay, std::function<void()> event) {
  site_.timeline.RunAfter(
      delay, [self = shared_from_this(), event = std::move(event)] {
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
  site_.timeline.RunAfter(time, [self = shared_from_this()] {
    self->paused_ = false;
    while (self->alive_ && !self->paused_ && !self->deferred_.empty()) {
      const auto event = std::move(self->deferred_.front());
      self->deferred_.pop_front();
      event();
    }
  });
}

void ModelOwner::Receive(cell::Input input) {
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
  // The process may be paused between the decision and its effects.
  if (site_.faults && site_.timeline.RandomInt(0, 49'999) == 0) {
    Pause(site_.timeline.RandomDuration(50ms, 8s));
  }
  if (paused_) {
    // Ahead of the events deferred so far, so that effects keep their order.
    deferred_.emplace_front([this, effects] {
      for (const cell::Effect& effect : effects) Perform(effect);
    });
  } else {
    for (const cell::Effect& effect : effects) Perform(effect);
  }
  ScheduleTick();
}

void ModelOwner::ScheduleTick() {
  const auto next = cell_->NextTick(site_.timeline.now());
  if (!next || *next >= next_tick_) return;
  next_tick_ = *next;
  const Duration delay = std::max<Duration>(0us, *next - site_.timeline.now());
  RunAfter(delay, [this, at = *next] {
    if (at != next_tick_) return;
    next_tick_ = TimePoint::max();
    Handle(cell::Tick{});
  });
}

void ModelOwner::Perform(const cell::Effect& effect) {
  std::visit(
      Overloaded{
          [&](const cell::SendReply& reply) {
            site_.checker.OnReply(reply.token, reply.reply);
          },
          [&](const cell::AppendJournal& append) { Append(append); },
          [&](const cell::OrderTask& order) {
            SendToWorker(order.order.task, true,
                         [order = order.order](ModelWorker& worker) {
                           return worker.Order(order);
                         });
          },
          [&](const cell::ReleaseTask& release) {
            SendToWorker(
                release.task, true,
                [task = release.task, epoch = epoch_](ModelWorker& worker) {
                  return worker.Release(task, epoch);
                });
          },
          [&](const cell::StopTask& stop) {
            SendToWorker(
                stop.task, false,
                [task = stop.task, epoch = epoch_](ModelWorker& worker) {
                  return worker.Stop(task, epoch);
                });
          },
          [&](const cell::ForgetTask& forget) {
            site_.timeline.RunAfter(site_.timeline.MessageDelay(site_.faults),
                                    [&site = site_, task = forget.task] {
                                      ModelWorker& worker =
                                          *site.workers.at(task.worker);
                                      if (worker.reachable())
                                        worker.Forget(task);
                                    });
          },
          [&](const cell::CountRetry&) { ++site_.checker.counts.retries; },
          [&](const cell::CountStaleMessage&) {
            ++site_.checker.counts.stale_messages;
          }},
      effect);
}

void ModelOwner::Append(const cell::AppendJournal& append) {
  site_.checker.Check(append.sequence.value == pending_through_.value + 1, {},
                      "the cell skipped a journal sequence");
  pending_.push_back(append.record);
  pending_through_ = append.sequence;
  if (!writing_) ScheduleWrite(append.urgent ? 0us : kBatchDelay);
}

void ModelOwner::ScheduleWrite(Duration delay) {
  if (write_scheduled_ && delay > 0us) return;
  write_scheduled_ = true;
  RunAfter(delay, [this] { WritePending(); });
}

void ModelOwner::WritePending() {
  write_scheduled_ = false;
  if (writing_ || pending_.empty()) return;
  writing_ = true;
  Batch batch{std::exchange(pending_, {}), false, pending_through_};
  if (site_.timeline.Chance(5)) {
    batch.records = cell_->SnapshotRecords();
    batch.is_snapshot = true;
  }
  const Duration message_delay = site_.timeline.RandomDuration(1ms, 10ms);
  auto shared = std::make_shared<Batch>(std::move(batch));
  // Retries until the store responds. After a lost response the owner learns
  // the result later, by reading it back.
  auto attempt = std::make_shared<std::function<void()>>();
  *attempt = [this, shared, message_delay,
              attempt_weak = std::weak_ptr(attempt),
              self = shared_from_this()] {
    const auto again = attempt_weak.lock();
    if (!site_.store.available()) {
      site_.timeline.RunAfter(kStoreRetryInterval, [again] { (*again)(); });
      return;
    }
    const bool written = site_.store.Write(epoch_, *shared);
    const bool answer_lost = site_.faults && site_.timeline.Chance(20);
    const Duration delay = message_delay + (answer_lost ? 300ms : 0us);
    RunAfter(delay, [this, written, shared, again] {
      HandleWriteResult(written, shared->through);
    });
  };
  site_.timeline.RunAfter(
      message_delay, [attempt, self = shared_from_this()] { (*attempt)(); });
}

void ModelOwner::HandleWriteResult(bool written, Sequence through) {
  writing_ = false;
  if (!written) {
    ++site_.checker.counts.fenced;
    Kill();  // Another owner has claimed the cell.
    return;
  }
  if (!pending_.empty()) ScheduleWrite(0us);
  Handle(cell::JournalDurable{through});
}

template <typename Request>
void ModelOwner::SendToWorker(const cell::TaskRef& task, bool reports_failure,
                              Request request) {
  Timeline& timeline = site_.timeline;
  const auto fail = [this, task, reports_failure](Reason reason,
                                                  Verdict verdict) {
    if (!reports_failure) return;
    Receive(cell::TaskOrderFailed{task, reason, verdict});
  };
  const bool lost = site_.faults && timeline.Chance(5);
  if (lost) {
    RunAfter(kRequestTimeout, [fail] {
      fail(Reason::kWorkerUnreachable, Verdict::kMayHaveRun);
    });
    return;
  }
  const bool answer_lost = site_.faults && timeline.Chance(10);
  // The worker handles a message that was sent even if its sender has died.
  timeline.RunAfter(
      timeline.MessageDelay(site_.faults),
      [this, self = shared_from_this(), task, request, fail, answer_lost] {
        ModelWorker& worker = *site_.workers.at(task.worker);
        const Duration back = site_.timeline.MessageDelay(site_.faults);
        if (!worker.reachable()) {
          RunAfter(back, [fail] {
            fail(Reason::kWorkerUnreachable, Verdict::kNotRun);
          });
          return;
        }
        const RequestResult answer = request(worker);
        if (answer_lost) {
          RunAfter(kRequestTimeout, [fail] {
            fail(Reason::kWorkerUnreachable, Verdict::kMayHaveRun);
          });
          return;
        }
        std::visit(
            Overloaded{[&](cell::TaskState state) {
                         // Success is delivered with its answer, after
                         // a report.
                         if (state == cell::TaskState::kSucceeded) {
                           state = cell::TaskState::kRunning;
                         }
                         DeliverUpdate({task, epoch_, state, std::nullopt});
                       },
                       [&](Reason reason) {
                         RunAfter(back, [fail, reason] {
                           fail(reason, Verdict::kNotRun);
                         });
                       }},
            answer);
      });
}

void ModelOwner::DeliverUpdate(const cell::TaskUpdate& update) {
  const bool twice = site_.faults && site_.timeline.Chance(10);
  for (int i = 0; i < (twice ? 2 : 1); ++i) {
    RunAfter(site_.timeline.MessageDelay(site_.faults),
             [this, update] { Handle(update); });
  }
}

void ModelOwner::PollWorker(WorkerId worker) {
  Poll& poll = polls_[worker];
  const TimePoint now = site_.timeline.now();
  const bool silent = now - poll.last_report > kReportTimeout;
  if (silent && !poll.awaiting_expiry) {
    // Stops polling, since a poll renews the lease, and waits until the lease
    // has certainly expired.
    poll.awaiting_expiry = true;
    const Duration lease = site_.settings.worker_lease;
    RunAfter(kMaxMessageDelay + lease, [this, worker] {
      polls_[worker].awaiting_expiry = false;
      polls_[worker].last_report = site_.timeline.now();
      Handle(cell::WorkerLost{worker});
    });
  }
  if (!poll.awaiting_expiry) {
    poll.last_sent = now;
    site_.timeline.RunAfter(
        site_.timeline.MessageDelay(site_.faults),
        [this, worker, self = shared_from_this()] {
          ModelWorker& target = *site_.workers.at(worker);
          if (!alive_ || !target.reachable()) return;
          const auto report = target.Report(epoch_);
          if (!report) return;
          target.set_on_update([this, self](const cell::TaskUpdate& update) {
            DeliverUpdate(update);
          });
          RunAfter(site_.timeline.MessageDelay(site_.faults),
                   [this, worker, report = *report] {
                     HandleReport(worker, report);
                   });
        });
  }
  RunAfter(kPollInterval, [this, worker] { PollWorker(worker); });
}

void ModelOwner::HandleReport(WorkerId worker,
                              const cell::WorkerReported& report) {
  Poll& poll = polls_[worker];
  if (poll.awaiting_expiry) return;
  poll.last_report = site_.timeline.now();
  Handle(report);
  for (const cell::ReportedTask& task : report.tasks) {
    if (task.rank != 0 || task.state != cell::TaskState::kSucceeded) continue;
    // Each report of a success triggers a fetch of the answer.
    auto answer = site_.workers.at(worker)->AnswerOf(task.task);
    if (site_.faults && site_.timeline.Chance(20)) continue;
    // The answer cannot be fetched, however often it is tried.
    if (site_.faults && site_.timeline.Chance(5)) answer.reset();
    DeliverUpdate({task.task, task.epoch, task.state, answer});
  }
}

}  // namespace jasminespar::cell_model
