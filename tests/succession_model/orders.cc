// Orders of the model's instances to its workers.
#include <algorithm>

#include "jasminespar/core/overloaded.h"
#include "model.h"

namespace jasminespar::jobs {
namespace {

constexpr Duration kOrderTimeout = 500ms;
constexpr Duration kPollTimeout = 2600ms;
constexpr Duration kStopLimit = 880ms;

Duration TimeoutOf(const SendOrder& order) {
  return std::holds_alternative<PollWorker>(order.what) ? kPollTimeout
                                                        : kOrderTimeout;
}

}  // namespace

void Model::SendToWorker(Instance& instance, const SendOrder& order) {
  const TimePoint expires_at =
      std::min(order.send_by, instance.ownership->OrderExpiry(order.what));
  const Duration transit =
      Befalls(0.02) ? Between(50ms, 1500ms) : Between(500us, 10ms);
  Later(
      instance, transit,
      [this, &instance, epoch = instance.epoch, order, expires_at] {
        if (SteadyOf(instance) < expires_at) {
          Deliver(instance, order, epoch);
        } else if (instance.epoch == epoch) {
          Feed(instance, OrderEnded{order.order, order.worker, OrderExpired{}});
        }
      });
}

void Model::Answer(Instance& instance, const SendOrder& order, Epoch epoch,
                   Duration delay, const OrderOutcome& outcome) {
  Later(instance, delay, [this, &instance, epoch, order, outcome] {
    if (instance.epoch != epoch) return;
    Feed(instance, OrderEnded{order.order, order.worker, outcome});
  });
}

void Model::Deliver(Instance& instance, const SendOrder& order, Epoch epoch) {
  const std::optional<Disturbance> disturbed = NextMessage();
  const Duration timeout = TimeoutOf(order);
  ModelWorker& worker = workers_.at(order.worker);
  const bool cut = !CanTalk(instance.zone, worker.zone);
  const bool late = Befalls(0.02) || disturbed == Disturbance::kLate;
  if (!worker.up || cut || late || disturbed == Disturbance::kLost) {
    Answer(instance, order, epoch, timeout, OrderUnanswered{});
    if (!worker.up || disturbed == Disturbance::kLost) return;
    // It may be delivered once the cut is over.
    if (cut && Happens(0.5)) return;
    const TimePoint over =
        std::max({now_, CutUntil(instance.zone), CutUntil(worker.zone)});
    DeliverLate(order, epoch,
                over - now_ + (late ? Between(1ms, 8s) : Between(1ms, 50ms)));
    return;
  }
  const bool lost = disturbed == Disturbance::kUnheard;
  const bool slow = now_ < worker.hears_slowly_until && Happens(0.5);
  if (slow) {
    After(Between(50ms, 1500ms), [this, &instance, order, epoch, lost,
                                  process = instance.process, sent_at = now_] {
      Arrive(instance, process, order, epoch, sent_at, lost);
    });
  } else {
    Arrive(instance, instance.process, order, epoch, now_, lost);
  }
  if (disturbed == Disturbance::kStanding) Stand(instance, 2s);
  if (disturbed == Disturbance::kKilled) Kill(instance, 300ms);
}

void Model::Arrive(Instance& instance, std::uint64_t process,
                   const SendOrder& order, Epoch epoch, TimePoint sent_at,
                   bool lost) {
  ModelWorker& worker = workers_.at(order.worker);
  const Duration left = std::max(Duration{}, sent_at + TimeoutOf(order) - now_);
  const OrderOutcome outcome =
      worker.up ? CarryOut(worker, order, epoch.durable) : OrderUnanswered{};
  if (instance.process != process) return;
  const auto* poll = std::get_if<PollWorker>(&order.what);
  const bool waits = poll != nullptr && poll->wait > Duration{};
  Duration back = waits ? Between(50ms, 300ms) : Between(1ms, 10ms);
  // Answers on different connections overtake each other.
  if (Befalls(0.02)) back = Between(10ms, 2s);
  const TimePoint arrives = now_ + back;
  const bool cut_since =
      CutUntil(instance.zone) > arrives || CutUntil(worker.zone) > arrives;
  const bool unheard = lost || Befalls(0.02) || back >= left ||
                       (cut_since && instance.zone != worker.zone);
  if (unheard) {
    Answer(instance, order, epoch, left, OrderUnanswered{});
  } else {
    Answer(instance, order, epoch, back, outcome);
  }
}

void Model::DeliverLate(const SendOrder& order, Epoch epoch, Duration delay) {
  const Incarnation meant = workers_.at(order.worker).entry.incarnation;
  After(delay, [this, order, epoch, meant] {
    ModelWorker& worker = workers_.at(order.worker);
    // An order ends with the process that it was sent to.
    if (!worker.up || worker.entry.incarnation != meant) return;
    (void)CarryOut(worker, order, epoch.durable);
  });
}

OrderOutcome Model::CarryOut(ModelWorker& worker, const SendOrder& order,
                             std::uint64_t epoch) {
  worker.Advance(now_);
  if (epoch < worker.fence) return OrderRefused{OrderRefusal::kFenced};
  worker.fence = epoch;
  if (order.lease_until.value != 0) worker.Renew(order.lease_until, now_);
  return std::visit(
      Overloaded{
          [&](const StartRun& start) {
            return CarryOutStart(worker, order, start);
          },
          [&](const StopRun& stop) { return CarryOutStop(worker, stop); },
          [&](const PollWorker& poll) {
            return CarryOutPoll(worker, poll, epoch);
          },
      },
      order.what);
}

OrderOutcome Model::CarryOutStart(ModelWorker& worker, const SendOrder& order,
                                  const StartRun& start) {
  const auto held = worker.runs.find(start.task);
  if (held != worker.runs.end() && held->second.run == start.run) {
    return OrderAccepted{worker.ClockAt(now_)};
  }
  if (held != worker.runs.end() ||
      worker.highest_ended[start.task] >= start.run) {
    return OrderRefused{OrderRefusal::kOldRun};
  }
  if (worker.ClockAt(now_) >= order.lease_until) {
    return OrderRefused{OrderRefusal::kLate};
  }
  StartOn(worker, start);
  return OrderAccepted{worker.ClockAt(now_)};
}

OrderOutcome Model::CarryOutStop(ModelWorker& worker, const StopRun& stop) {
  const auto held = worker.runs.find(stop.task);
  if (held == worker.runs.end()) {
    RunNumber& highest = worker.highest_ended[stop.task];
    highest = std::max(highest, stop.run);
  } else if (held->second.run <= stop.run && !held->second.stopping) {
    held->second.stopping = true;
    held->second.ends_at =
        now_ + (Happens(0.3) ? kStopLimit : Between(0ms, kStopLimit));
  }
  return OrderAccepted{worker.ClockAt(now_)};
}

OrderOutcome Model::CarryOutPoll(ModelWorker& worker, const PollWorker& poll,
                                 std::uint64_t epoch) {
  NoteAcknowledged(worker, poll.acknowledge_to, epoch);
  WorkerReport report;
  report.clock = worker.ClockAt(now_);
  report.incarnation = worker.entry.incarnation;
  report.leaving = worker.leaving;
  report.ends = worker.ends;
  for (const auto& [task, run] : worker.runs) {
    report.runs.push_back({task, run.run, "", run.PercentAt(now_)});
  }
  return report;
}

}  // namespace jasminespar::jobs
