#include <cstddef>
#include <set>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// Between two looks for records that no job needs any more.
constexpr Duration kUnusedQueueCheckInterval = 5s;

/// Most records that one commit writes, and most that it deletes.
constexpr std::size_t kMaxQueuesPerCommit = 20;

}  // namespace

void Dispatcher::Impl::On(ConfigurationChanged change, const Now&) {
  configuration_ = std::move(change.configuration);
  services_.clear();
  for (const QueueConfiguration& queue : configuration_->content().queues) {
    services_.insert(queue.service);
  }
  for (const JobId& id : live_) {
    JobState& job = jobs_.at(id);
    UpdateQueue(job);
    services_.insert(job.queue.service);
  }
}

void Dispatcher::Impl::On(QueueRecorded recorded, const Now&) {
  const QueueId name = recorded.record.queue.name;
  recorded_queues_[name] = std::move(recorded.record);
}

void Dispatcher::Impl::UpdateQueue(JobState& job) {
  const auto update = [&job](const QueueConfiguration& queue,
                             Revision revision) {
    if (revision < job.queue_revision) return;
    job.queue = queue;
    job.queue_revision = revision;
  };
  const auto recorded = recorded_queues_.find(job.job.queue);
  if (recorded != recorded_queues_.end()) {
    update(recorded->second.queue, recorded->second.revision);
  }
  const QueueConfiguration durable = job.queue;
  if (configuration_ == nullptr) return;
  const QueueConfiguration* queue = configuration_->FindQueue(job.job.queue);
  if (queue != nullptr) update(*queue, configuration_->version());
  if (job.queue == durable) return;
  queues_to_record_[job.job.queue] = {job.queue_revision, job.queue};
}

void Dispatcher::Impl::CommitQueues(Commit& commit, const Now& now) {
  while (!queues_to_record_.empty() &&
         commit.queues.size() < kMaxQueuesPerCommit) {
    const auto next = queues_to_record_.begin();
    commit.queues.push_back(std::move(next->second));
    queues_to_record_.erase(next);
  }
  if (recorded_queues_.empty() || now.steady < next_queue_check_) return;
  next_queue_check_ = now.steady + kUnusedQueueCheckInterval;
  std::set<QueueId> used;
  for (const JobId& id : live_) used.insert(jobs_.at(id).job.queue);
  for (const QueueRecord& record : commit.queues) {
    used.insert(record.queue.name);
  }
  for (const auto& [name, record] : recorded_queues_) {
    if (commit.unused_queues.size() == kMaxQueuesPerCommit) return;
    if (!used.contains(name)) commit.unused_queues.push_back(name);
  }
}

void Dispatcher::Impl::HandleQueuesCommitted(const Commit& commit) {
  for (const QueueId& name : commit.unused_queues) recorded_queues_.erase(name);
  for (const QueueRecord& record : commit.queues) {
    recorded_queues_[record.queue.name] = record;
  }
}

void Dispatcher::Impl::HandleQueuesRejected(const Commit& commit) {
  for (const QueueRecord& record : commit.queues) {
    queues_to_record_.try_emplace(record.queue.name, record);
  }
}

}  // namespace jasminespar::jobs
