#include "cell_model/model_worker.h"

#include <algorithm>
#include <utility>

namespace jasminespar::cell_model {
namespace {

using cell::TaskState;

constexpr Duration kLeaseDuration = 10s;
constexpr Duration kResultRetention = 30s;

}  // namespace

bool ModelWorker::RejectsEpoch(Epoch epoch) {
  StopTasksIfLeaseExpired();
  if (mutation_ != WorkerMutation::kSkipEpochCheck && epoch < highest_epoch_) {
    return true;
  }
  highest_epoch_ = std::max(highest_epoch_, epoch);
  return false;
}

RequestResult ModelWorker::Order(const cell::TaskOrder& order) {
  if (RejectsEpoch(order.epoch)) return Reason::kStaleEpoch;
  const auto known = tasks_.find(order.task);
  if (known != tasks_.end()) {
    // The earlier order may be one of a replaced owner.
    if (known->second.state == TaskState::kHeld) checker_.OnTaskHeld(order);
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
  checker_.OnTaskHeld(order);
  if (order.start_now) {
    Start(task, order.epoch);
    return task.state;
  }
  timeline_.RunAfter(order.hold,
                     [this, ref = order.task, incarnation = incarnation_] {
                       const auto held = tasks_.find(ref);
                       if (incarnation != incarnation_ || held == tasks_.end())
                         return;
                       if (held->second.state != TaskState::kHeld) return;
                       SetState(held->second, TaskState::kNeverStarted, true);
                     });
  return TaskState::kHeld;
}

RequestResult ModelWorker::Release(const cell::TaskRef& ref, Epoch epoch) {
  if (RejectsEpoch(epoch)) return Reason::kStaleEpoch;
  const auto found = tasks_.find(ref);
  if (found == tasks_.end()) return Reason::kNotFound;
  Task& task = found->second;
  if (task.state == TaskState::kNeverStarted) return Reason::kHoldExpired;
  if (task.state == TaskState::kHeld) Start(task, epoch);
  return task.state;
}

RequestResult ModelWorker::Stop(const cell::TaskRef& ref, Epoch epoch) {
  if (RejectsEpoch(epoch)) return Reason::kStaleEpoch;
  const auto [found, inserted] = tasks_.try_emplace(ref);
  Task& task = found->second;
  if (inserted) {
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
  if (RejectsEpoch(epoch)) return std::nullopt;
  lease_renewed_ = timeline_.now();
  RemoveOldResults();
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
  return Answer{200, AnswerBody(task.order)};
}

void ModelWorker::Restart() {
  tasks_.clear();
  highest_epoch_ = {};
  ++incarnation_;
}

std::size_t ModelWorker::active_tasks() const {
  return static_cast<std::size_t>(std::count_if(
      tasks_.begin(), tasks_.end(),
      [](const auto& entry) { return !HasEnded(entry.second.state); }));
}

void ModelWorker::Start(Task& task, Epoch requester) {
  checker_.OnTaskStarted(task.order, requester, highest_epoch_);
  task.state = TaskState::kRunning;
  const bool is_straggler = timeline_.Chance(20);
  const Duration run = is_straggler ? timeline_.RandomDuration(1s, 8s)
                                    : timeline_.RandomDuration(1ms, 300ms);
  timeline_.RunAfter(run,
                     [this, ref = task.order.task, incarnation = incarnation_] {
                       FinishRun(ref, incarnation);
                     });
}

void ModelWorker::FinishRun(const cell::TaskRef& ref,
                            std::uint64_t incarnation) {
  StopTasksIfLeaseExpired();
  const auto found = tasks_.find(ref);
  if (incarnation != incarnation_ || found == tasks_.end()) return;
  Task& task = found->second;
  if (task.state != TaskState::kRunning) return;
  const bool fails = fails_everything_ || timeline_.Chance(10);
  SetState(task, fails ? TaskState::kFailed : TaskState::kSucceeded, true);
}

void ModelWorker::SetState(Task& task, TaskState state, bool notify) {
  task.state = state;
  task.ended = timeline_.now();
  if (!notify || !on_update_) return;
  on_update_(
      {task.order.task, task.order.epoch, state, AnswerOf(task.order.task)});
}

void ModelWorker::StopTasksIfLeaseExpired() {
  if (timeline_.now() - lease_renewed_ < kLeaseDuration) return;
  for (auto& [ref, task] : tasks_) {
    if (task.state == TaskState::kHeld) {
      SetState(task, TaskState::kNeverStarted, false);
    } else if (task.state == TaskState::kRunning) {
      SetState(task, TaskState::kStopped, false);
    }
  }
}

void ModelWorker::RemoveOldResults() {
  std::erase_if(tasks_, [this](const auto& entry) {
    return HasEnded(entry.second.state) &&
           timeline_.now() - entry.second.ended > kResultRetention;
  });
}

}  // namespace jasminespar::cell_model
