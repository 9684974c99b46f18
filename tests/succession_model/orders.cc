#include <algorithm>
#include <iostream>

#include "jasminespar/core/overloaded.h"
#include "model.h"

namespace jasminespar::jobs {
namespace {

constexpr Duration kOrderTimeout = 500ms;
constexpr Duration kPollTimeout = 2600ms;
constexpr Duration kStopLimit = 880ms;

}  // namespace

void Model::SendToWorker(Instance& instance, const SendOrder& order) {
  const TimePoint expires_at =
      std::min(order.send_by, instance.ownership->OrderExpiry(order.what));
  const std::uint64_t process = instance.process;
  const Epoch epoch = instance.epoch;
  const auto answer = [this, &instance, process, epoch,
                       order](const OrderOutcome& outcome) {
    if (instance.process != process || instance.dispatcher == nullptr) return;
    if (instance.epoch != epoch) return;
    Feed(instance, OrderEnded{order.order, order.worker, outcome});
  };
  const Duration transit =
      Happens(0.02) ? Between(50ms, 1500ms) : Between(500us, 10ms);
  After(transit, [this, &instance, process, epoch, order, expires_at, answer] {
    if (instance.process != process || !instance.running) return;
    if (now_ >= expires_at) {
      answer(OrderExpired{});
      return;
    }
    ModelWorker& worker = workers_.at(order.worker);
    const Duration timeout = std::holds_alternative<PollWorker>(order.what)
                                 ? kPollTimeout
                                 : kOrderTimeout;
    const bool cut = !CanTalk(instance.zone, worker.zone);
    const bool late = Happens(0.02);
    if (cut || late) {
      After(timeout, [answer] { answer(OrderUnanswered{}); });
      // It may be delivered once the cut is over.
      if (cut && Happens(0.5)) return;
      const TimePoint over =
          std::max({now_, CutUntil(instance.zone), CutUntil(worker.zone)});
      After(over - now_ + Between(1ms, 2s), [this, order, epoch] {
        ModelWorker& late_worker = workers_.at(order.worker);
        (void)CarryOut(late_worker, order, epoch.durable);
      });
      return;
    }
    OrderOutcome outcome = CarryOut(worker, order, epoch.durable);
    const bool lost = Happens(0.02);
    const auto* poll = std::get_if<PollWorker>(&order.what);
    const bool waits = poll != nullptr && poll->wait > Duration{};
    const Duration back = waits ? Between(50ms, 300ms) : Between(1ms, 10ms);
    After(lost ? timeout : back,
          [this, &instance, &worker, lost, answer, outcome] {
            const bool arrives = !lost && CanTalk(instance.zone, worker.zone);
            answer(arrives ? outcome : OrderOutcome(OrderUnanswered{}));
          });
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
          [&](const StartRun& start) -> OrderOutcome {
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
          },
          [&](const StopRun& stop) -> OrderOutcome {
            const auto held = worker.runs.find(stop.task);
            if (held == worker.runs.end()) {
              RunNumber& highest = worker.highest_ended[stop.task];
              highest = std::max(highest, stop.run);
            } else if (held->second.run <= stop.run && !held->second.stopping) {
              held->second.stopping = true;
              held->second.ends_at = now_ + Between(0ms, kStopLimit);
            }
            return OrderAccepted{worker.ClockAt(now_)};
          },
          [&](const PollWorker& poll) -> OrderOutcome {
            for (auto& end : worker.ends) {
              if (end.number > poll.acknowledge_to) break;
              const auto found = worker.lapsed_since.find(end.number);
              if (found == worker.lapsed_since.end()) continue;
              Trace(end.task.job, "end " + std::to_string(end.run.value) +
                                      " noted by epoch " +
                                      std::to_string(epoch) +
                                      (found->second ? ", lapsed" : ""));
              for (DoneRun& done : done_[end.task]) {
                if (done.run == end.run) done.noted = !found->second;
              }
              worker.lapsed_since.erase(found);
            }
            std::erase_if(worker.ends, [&](const EndedRun& end) {
              return end.number <= poll.acknowledge_to;
            });
            WorkerReport report;
            report.clock = worker.ClockAt(now_);
            report.incarnation = Incarnation{1};
            report.ends = worker.ends;
            for (const auto& [task, run] : worker.runs) {
              const auto left =
                  static_cast<std::uint32_t>(std::max<std::int64_t>(
                      0, ToMilliseconds(run.ends_at - now_)));
              // Progress shows only that it goes on.
              report.runs.push_back({task, run.run, "", 99 - left / 500 % 99});
            }
            return report;
          },
      },
      order.what);
}

void Model::StartOn(ModelWorker& worker, const StartRun& start) {
  const std::string name = start.task.job.value + "." +
                           std::to_string(start.task.step) + "." +
                           std::to_string(start.task.index);
  for (auto& [other_name, other] : workers_) {
    other.Advance(now_);
    const auto held = other.runs.find(start.task);
    if (held == other.runs.end()) continue;
    Violate(name + ": run " + std::to_string(start.run.value) + " starts on " +
            worker.entry.name.value + " while run " +
            std::to_string(held->second.run.value) + " is on " +
            other_name.value);
  }
  Trace(start.task.job, name + " run " + std::to_string(start.run.value) +
                            " begins on " + worker.entry.name.value);
  starts_[start.task].push_back(now_);
  ++result_.starts;
  worker.runs[start.task] = {start.run, now_ + work_.at(start.task.job)};
}

void Model::CheckEnds() {
  for (const auto& [task, ends] : done_) {
    for (const DoneRun& end : ends) {
      for (const TimePoint start : starts_[task]) {
        if (!end.noted || start <= end.ended_at) continue;
        Violate(task.job.value + ": starts after an end that was noted");
      }
    }
  }
  for (const auto& [accepted_at, job] : jobs_) {
    if (completed_.contains(job.id)) continue;
    Violate(job.id.value + ": is not completed");
  }
}

void Model::Trace(const JobId& job, const std::string& what) {
  if (settings_.traced.value.empty() || job != settings_.traced) return;
  std::cout << ToMilliseconds(now_ - TimePoint(1h)) << " ms: " << what << '\n';
}

void Model::TraceDecision(const Instance& instance, const Decision& decision) {
  Trace(decision.task.job,
        instance.name.value + ": " +
            std::string(RowOf(kDecisionNames, decision.kind).name) + " task " +
            std::to_string(decision.task.index) + " run " +
            std::to_string(decision.run.value) + " " + decision.worker.value +
            " " + decision.detail);
}

void Model::Violate(const std::string& what) {
  result_.violations.push_back(
      std::to_string(ToMilliseconds(now_ - TimePoint(1h))) + " ms: " + what);
}

}  // namespace jasminespar::jobs
