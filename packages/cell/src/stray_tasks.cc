#include "stray_tasks.h"

#include <algorithm>

#include "timer_queue.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kInitialResendDelay = 200ms;
constexpr std::uint32_t kMaxBackoffSteps = 5;

}  // namespace

void StrayTasks::Add(const TaskRef& task, TimePoint now, EffectList& effects) {
  const auto [entry, inserted] =
      tasks_[task.worker].try_emplace(task, Stop{now + kInitialResendDelay, 1});
  if (inserted) effects.emplace_back(StopTask{task, StopMode::kStop});
}

bool StrayTasks::Contains(const TaskRef& task) const {
  const auto worker = tasks_.find(task.worker);
  return worker != tasks_.end() && worker->second.contains(task);
}

void StrayTasks::HandleUpdate(const TaskUpdate& update, EffectList& effects) {
  if (!Contains(update.task) || !HasEnded(update.state)) return;
  const auto worker = tasks_.find(update.task.worker);
  worker->second.erase(update.task);
  if (worker->second.empty()) tasks_.erase(worker);
  effects.emplace_back(ForgetTask{update.task});
}

void StrayTasks::RemoveWorker(WorkerId worker) { tasks_.erase(worker); }

void StrayTasks::ResendDueStops(TimePoint now, EffectList& effects) {
  for (auto& [worker, tasks] : tasks_) {
    for (auto& [task, stop] : tasks) {
      if (stop.resend_at > now) continue;
      stop.resend_at =
          now + kInitialResendDelay *
                    (1U << std::min(stop.send_count, kMaxBackoffSteps));
      ++stop.send_count;
      effects.emplace_back(StopTask{task, StopMode::kStop});
    }
  }
}

bool StrayTasks::HasAny(WorkerId worker) const {
  return tasks_.contains(worker);
}

std::optional<TimePoint> StrayTasks::next_timer() const {
  std::optional<TimePoint> next;
  for (const auto& [worker, tasks] : tasks_) {
    for (const auto& [task, stop] : tasks) next = Earlier(next, stop.resend_at);
  }
  return next;
}

}  // namespace jasminespar::cell
