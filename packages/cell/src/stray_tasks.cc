#include "stray_tasks.h"

#include <algorithm>

#include "timer_queue.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kFirstResend = 200ms;
constexpr std::uint32_t kMaxBackoffSteps = 5;

}  // namespace

void StrayTasks::Add(const TaskRef& task, TimePoint now, EffectList& effects) {
  const auto [entry, inserted] =
      tasks_[task.worker].try_emplace(task, Stop{now + kFirstResend, 1});
  if (inserted) effects.emplace_back(StopTask{task, StopMode::kStop});
}

bool StrayTasks::Contains(const TaskRef& task) const {
  const auto worker = tasks_.find(task.worker);
  return worker != tasks_.end() && worker->second.contains(task);
}

void StrayTasks::Take(const TaskUpdate& word, EffectList& effects) {
  if (!Contains(word.task) || !HasEnded(word.state)) return;
  const auto worker = tasks_.find(word.task.worker);
  worker->second.erase(word.task);
  if (worker->second.empty()) tasks_.erase(worker);
  effects.emplace_back(ForgetTask{word.task});
}

void StrayTasks::LoseWorker(WorkerId worker) { tasks_.erase(worker); }

void StrayTasks::Wake(TimePoint now, EffectList& effects) {
  for (auto& [worker, tasks] : tasks_) {
    for (auto& [task, stop] : tasks) {
      if (stop.resend_at > now) continue;
      stop.resend_at =
          now + kFirstResend * (1U << std::min(stop.sends, kMaxBackoffSteps));
      ++stop.sends;
      effects.emplace_back(StopTask{task, StopMode::kStop});
    }
  }
}

bool StrayTasks::HasAny(WorkerId worker) const {
  return tasks_.contains(worker);
}

std::optional<TimePoint> StrayTasks::next_wake() const {
  std::optional<TimePoint> next;
  for (const auto& [worker, tasks] : tasks_) {
    for (const auto& [task, stop] : tasks) next = Earlier(next, stop.resend_at);
  }
  return next;
}

}  // namespace jasminespar::cell
