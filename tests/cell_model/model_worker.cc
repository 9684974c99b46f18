#include "cell_model/model_worker.h"

#include <algorithm>
#include <utility>

namespace jasminespar::cell_model {
namespace {

using cell::TaskState;

constexpr Duration kLease = 10s;
constexpr Duration kRemembered = 30s;

}  // namespace

bool ModelWorker::Refuses(Epoch epoch) {
  CheckLease();
  if (mutation_ != WorkerMutation::kSkipEpochCheck && epoch < highest_) {
    return true;
  }
  highest_ = std::max(highest_, epoch);
  return false;
}

WorkerAnswer ModelWorker::Order(const cell::TaskOrder& order) {
  if (Refuses(order.epoch)) return Reason::kStaleEpoch;
  const auto known = tasks_.find(order.task);
  if (known != tasks_.end()) {
    // Held already, perhaps by the order of an owner that has been replaced.
    if (known->second.state == TaskState::kHeld) auditor_.OnHeld(order);
    return known->second.state;
  }
  if (leaving_) return Reason::kWorkerLeaving;
  std::uint64_t used = 0;
  for (const auto& [ref, task] : tasks_) {
    if (!HasEnded(task.state)) used |= task.order.accelerators;
  }
  if ((used & order.accelerators) != 0) return Reason::kWorkerRefused;
  Task& task = tasks_[order.task];
  task.order = order;
  auditor_.OnHeld(order);
  if (order.start_now) {
    Start(task, order.epoch);
    return task.state;
  }
  timeline_.After(order.hold, [this, ref = order.task, life = life_] {
    const auto held = tasks_.find(ref);
    if (life != life_ || held == tasks_.end()) return;
    if (held->second.state != TaskState::kHeld) return;
    SetState(held->second, TaskState::kNeverStarted, true);
  });
  return TaskState::kHeld;
}

WorkerAnswer ModelWorker::Release(const cell::TaskRef& ref, Epoch epoch) {
  if (Refuses(epoch)) return Reason::kStaleEpoch;
  const auto found = tasks_.find(ref);
  if (found == tasks_.end()) return Reason::kNotFound;
  Task& task = found->second;
  if (task.state == TaskState::kNeverStarted) return Reason::kHoldExpired;
  if (task.state == TaskState::kHeld) Start(task, epoch);
  return task.state;
}

WorkerAnswer ModelWorker::Stop(const cell::TaskRef& ref, Epoch epoch) {
  if (Refuses(epoch)) return Reason::kStaleEpoch;
  const auto [found, unseen] = tasks_.try_emplace(ref);
  Task& task = found->second;
  if (unseen) {
    task.order.task = ref;
    task.order.epoch = epoch;
    task.order.cell = cell_;
  }
  if (task.state == TaskState::kHeld) {
    SetState(task, TaskState::kNeverStarted, false);
  } else if (task.state == TaskState::kRunning) {
    SetState(task, TaskState::kStopped, false);
  }
  return task.state;
}

void ModelWorker::Forget(const cell::TaskRef& ref) {
  const auto found = tasks_.find(ref);
  if (found != tasks_.end() && HasEnded(found->second.state)) {
    tasks_.erase(found);
  }
}

std::optional<cell::WorkerReported> ModelWorker::Report(Epoch epoch) {
  if (Refuses(epoch)) return std::nullopt;
  renewed_ = timeline_.now();
  Purge();
  cell::WorkerReported report{id_, leaving_, {}};
  for (const auto& [ref, task] : tasks_) {
    cell::ReportedTask reported;
    reported.task = ref;
    reported.cell = task.order.cell;
    reported.epoch = task.order.epoch;
    reported.rank = task.order.rank;
    reported.gang_workers = task.order.gang_workers;
    reported.accelerators = task.order.accelerators;
    reported.state = task.state;
    report.tasks.push_back(std::move(reported));
  }
  return report;
}

std::optional<Answer> ModelWorker::AnswerOf(const cell::TaskRef& ref) const {
  const auto found = tasks_.find(ref);
  if (found == tasks_.end()) return std::nullopt;
  const Task& task = found->second;
  if (task.state != TaskState::kSucceeded || task.order.rank != 0) {
    return std::nullopt;
  }
  return Answer{200, AnswerTo(task.order)};
}

void ModelWorker::Restart() {
  tasks_.clear();
  highest_ = {};
  ++life_;
}

std::size_t ModelWorker::busy() const {
  return static_cast<std::size_t>(std::count_if(
      tasks_.begin(), tasks_.end(),
      [](const auto& entry) { return !HasEnded(entry.second.state); }));
}

void ModelWorker::Start(Task& task, Epoch requester) {
  auditor_.OnStart(task.order, requester, highest_);
  task.state = TaskState::kRunning;
  const bool straggles = timeline_.Chance(20);
  const Duration run =
      straggles ? timeline_.Between(1s, 8s) : timeline_.Between(1ms, 300ms);
  timeline_.After(
      run, [this, ref = task.order.task, life = life_] { EndRun(ref, life); });
}

void ModelWorker::EndRun(const cell::TaskRef& ref, std::uint64_t life) {
  CheckLease();
  const auto found = tasks_.find(ref);
  if (life != life_ || found == tasks_.end()) return;
  Task& task = found->second;
  if (task.state != TaskState::kRunning) return;
  const bool fails = fails_everything_ || timeline_.Chance(10);
  SetState(task, fails ? TaskState::kFailed : TaskState::kSucceeded, true);
}

void ModelWorker::SetState(Task& task, TaskState state, bool tell) {
  task.state = state;
  task.ended = timeline_.now();
  if (!tell || !changed_) return;
  changed_(
      {task.order.task, task.order.epoch, state, AnswerOf(task.order.task)});
}

void ModelWorker::CheckLease() {
  if (timeline_.now() - renewed_ < kLease) return;
  for (auto& [ref, task] : tasks_) {
    if (task.state == TaskState::kHeld) {
      SetState(task, TaskState::kNeverStarted, false);
    } else if (task.state == TaskState::kRunning) {
      SetState(task, TaskState::kStopped, false);
    }
  }
}

void ModelWorker::Purge() {
  std::erase_if(tasks_, [this](const auto& entry) {
    return HasEnded(entry.second.state) &&
           timeline_.now() - entry.second.ended > kRemembered;
  });
}

}  // namespace jasminespar::cell_model
