#include "jasminespar/standins/endpoint_model.h"

#include <algorithm>

namespace jasminespar::standins {

using cell::TaskState;

namespace {

/// Longest run time of a task that fails.
constexpr Duration kMaxFailingRunTime = 20ms;

std::uint64_t MaskOfAccelerators(int count) {
  return count >= 64 ? ~std::uint64_t{0}
                     : (std::uint64_t{1} << static_cast<unsigned>(count)) - 1;
}

}  // namespace

EndpointModel::EndpointModel(const EndpointSettings& settings,
                             Checkpoints& checkpoints)
    : settings_(settings), checkpoints_(checkpoints) {}

std::optional<Reason> EndpointModel::AcceptEpoch(const Sender& sender,
                                                 TimePoint now) {
  const auto [entry, is_new] = cells_.try_emplace(sender.cell);
  Cell& cell = entry->second;
  if (settings_.compare_epochs && sender.epoch < cell.highest) {
    return Reason::kStaleEpoch;
  }
  cell.highest = std::max(cell.highest, sender.epoch);
  if (is_new || cell.lease_end <= now) cell.lease_end = now + settings_.lease;
  return std::nullopt;
}

std::optional<Reason> EndpointModel::RenewLease(const Sender& sender,
                                                TimePoint now) {
  if (const auto reason = AcceptEpoch(sender, now)) return reason;
  cells_[sender.cell].lease_end = now + settings_.lease;
  return std::nullopt;
}

Epoch EndpointModel::HighestEpoch(const CellId& cell) const {
  const auto found = cells_.find(cell);
  return found == cells_.end() ? Epoch{} : found->second.highest;
}

std::uint64_t EndpointModel::Occupied() const {
  std::uint64_t mask = 0;
  for (const auto& [key, task] : tasks_) {
    if (!HasEnded(task.state)) mask |= task.order.accelerators;
  }
  return mask;
}

EndpointModel::StateOrReason EndpointModel::Order(const cell::TaskOrder& order,
                                                  TimePoint now) {
  Advance(now);
  if (const auto reason = AcceptEpoch({order.cell, order.epoch}, now)) {
    return *reason;
  }
  const TaskKey key{order.task.call, order.task.attempt};
  const auto known = tasks_.find(key);
  if (known != tasks_.end()) return known->second.state;
  if (leaving_) return Reason::kWorkerLeaving;
  const std::uint64_t usable =
      MaskOfAccelerators(settings_.accelerators) & ~Occupied();
  if (order.accelerators == 0 || (order.accelerators & ~usable) != 0) {
    return Reason::kWorkerRefused;
  }
  Task& task = tasks_[key];
  task.order = order;
  task.change = ++change_;
  task.due = now + order.hold;
  task.next_state = TaskState::kNeverStarted;
  orders_.push_back({{key.call, key.attempt, settings_.worker}, now});
  if (order.start_now) StartTask(task, now);
  return task.state;
}

EndpointModel::StateOrReason EndpointModel::Release(const TaskKey& key,
                                                    const Sender& sender,
                                                    TimePoint now) {
  Advance(now);
  if (const auto reason = AcceptEpoch(sender, now)) return *reason;
  const auto known = tasks_.find(key);
  if (known == tasks_.end()) return Reason::kNotFound;
  Task& task = known->second;
  if (task.state == TaskState::kNeverStarted) return Reason::kHoldExpired;
  if (task.state == TaskState::kHeld) StartTask(task, now);
  return task.state;
}

EndpointModel::StateOrReason EndpointModel::Stop(const TaskKey& key,
                                                 cell::StopMode mode,
                                                 const Sender& sender,
                                                 TimePoint now) {
  Advance(now);
  if (const auto reason = AcceptEpoch(sender, now)) return *reason;
  const auto [entry, is_new] = tasks_.try_emplace(key);
  Task& task = entry->second;
  if (is_new) {
    task.order.task = {key.call, key.attempt, settings_.worker};
    task.order.cell = sender.cell;
    task.order.epoch = sender.epoch;
  }
  if (task.state == TaskState::kHeld) {
    EndTask(task, TaskState::kNeverStarted, now);
  } else if (task.state == TaskState::kRunning &&
             task.next_state != TaskState::kStopped) {
    const bool save = mode == cell::StopMode::kCheckpoint;
    const Duration saving = ParseTaskDirective(task.order.body).checkpoint_time;
    if (save) SaveProgress(task, now);
    if (save && saving > Duration{}) {
      task.due = now + saving;
      task.next_state = TaskState::kStopped;
    } else {
      EndTask(task, TaskState::kStopped, now);
    }
  }
  return task.state;
}

EndpointModel::AnswerOrReason EndpointModel::AnswerOf(
    const TaskKey& key) const {
  const auto known = tasks_.find(key);
  if (known == tasks_.end()) return Reason::kNotFound;
  const Task& task = known->second;
  if (task.state != TaskState::kSucceeded || task.order.rank != 0) {
    return Reason::kNotFound;
  }
  Answer answer;
  answer.body = MakeEndpointAnswer(key.call, task.order.body);
  return answer;
}

void EndpointModel::Forget(const TaskKey& key) {
  const auto known = tasks_.find(key);
  if (known == tasks_.end() || !HasEnded(known->second.state)) return;
  tasks_.erase(known);
}

TaskReport EndpointModel::Report(std::uint64_t after) const {
  TaskReport report;
  report.change = change_;
  for (const auto& [key, task] : tasks_) {
    if (task.change <= after) continue;
    cell::ReportedTask entry;
    entry.task = {key.call, key.attempt, settings_.worker};
    entry.cell = task.order.cell;
    entry.epoch = task.order.epoch;
    entry.rank = task.order.rank;
    entry.gang_workers = task.order.gang_workers;
    entry.accelerators = task.order.accelerators;
    entry.state = task.state;
    if (task.state == TaskState::kSucceeded && task.order.rank == 0) {
      const std::string body = MakeEndpointAnswer(key.call, task.order.body);
      entry.answer_digest = DigestOf(body);
      entry.answer_bytes = body.size();
    }
    report.tasks.push_back(std::move(entry));
  }
  return report;
}

void EndpointModel::StartTask(Task& task, TimePoint now) {
  const TaskDirective directive = ParseTaskDirective(task.order.body);
  const bool fails = directive.fail || faults_.fail_everything;
  Duration run_time = std::chrono::duration_cast<Duration>(directive.run_time *
                                                           faults_.slow_factor);
  const auto saved = checkpoints_.find({task.order.task.call, task.order.rank});
  if (saved != checkpoints_.end()) {
    run_time = std::max(Duration{}, run_time - saved->second);
  }
  if (fails) run_time = std::min(run_time, kMaxFailingRunTime);
  task.state = TaskState::kRunning;
  task.started = now;
  task.due = now + run_time;
  task.next_state = fails ? TaskState::kFailed : TaskState::kSucceeded;
  task.change = ++change_;
  task.run = runs_.size();
  RunRecord record;
  record.task = task.order.task;
  record.task.worker = settings_.worker;
  record.rank = task.order.rank;
  record.cell = task.order.cell;
  record.gang_workers = task.order.gang_workers;
  record.started = now;
  runs_.push_back(record);
}

void EndpointModel::EndTask(Task& task, TaskState state, TimePoint now) {
  if (task.state == TaskState::kRunning) {
    runs_[task.run].ended = now;
    runs_[task.run].state = state;
  }
  task.state = state;
  task.change = ++change_;
  task.due = now + settings_.retention;
}

void EndpointModel::SaveProgress(const Task& task, TimePoint now) {
  checkpoints_[{task.order.task.call, task.order.rank}] += now - task.started;
}

void EndpointModel::EndTasksWithExpiredLease(TimePoint now) {
  for (auto& [key, task] : tasks_) {
    if (HasEnded(task.state)) continue;
    const auto cell = cells_.find(task.order.cell);
    if (cell == cells_.end() || cell->second.lease_end > now) continue;
    EndTask(task,
            task.state == TaskState::kHeld ? TaskState::kNeverStarted
                                           : TaskState::kStopped,
            now);
  }
}

void EndpointModel::Advance(TimePoint now) {
  EndTasksWithExpiredLease(now);
  for (auto entry = tasks_.begin(); entry != tasks_.end();) {
    Task& task = entry->second;
    if (!task.due || *task.due > now) {
      ++entry;
    } else if (HasEnded(task.state)) {
      entry = tasks_.erase(entry);
    } else {
      EndTask(task, task.next_state, now);
      ++entry;
    }
  }
}

std::optional<TimePoint> EndpointModel::NextEventTime() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint time) {
    if (!next || time < *next) next = time;
  };
  for (const auto& [key, task] : tasks_) {
    if (task.due) consider(*task.due);
    if (HasEnded(task.state)) continue;
    const auto cell = cells_.find(task.order.cell);
    if (cell != cells_.end()) consider(cell->second.lease_end);
  }
  return next;
}

void EndpointModel::Restart(TimePoint now) {
  for (auto& [key, task] : tasks_) {
    if (task.state == TaskState::kRunning) {
      EndTask(task, TaskState::kStopped, now);
    }
  }
  tasks_.clear();
  cells_.clear();
  change_ = 1;
  ++restarts_;
}

void EndpointModel::SetLeaving(bool leaving) {
  if (leaving_ != leaving) ++change_;
  leaving_ = leaving;
}

}  // namespace jasminespar::standins
