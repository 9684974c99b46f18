#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// Most jobs that one commit expires, and most that it forgets; their rows are
/// deleted separately.
constexpr std::size_t kForgottenPerCommit = 20;

/// Moves the last elements of `from`, as many as one commit takes.
template <typename Job>
std::vector<Job> TakeForCommit(std::vector<Job>& from) {
  std::vector<Job> taken;
  while (!from.empty() && taken.size() < kForgottenPerCommit) {
    taken.push_back(std::move(from.back()));
    from.pop_back();
  }
  return taken;
}

/// With a row of progress, its job's status may be written.
constexpr std::size_t kRowsPerRange = 2;

/// Commits whose rows are this small are not split further.
constexpr std::size_t kMinRowBytes = 512;

std::size_t RowsOf(const Commit& commit) {
  return commit.progress.size() + commit.statuses.size() +
         commit.enrolled.size() + commit.departed.size() +
         commit.queues.size() + commit.unused_queues.size();
}

}  // namespace

void Dispatcher::Impl::On(const CommitDone& done, const Now& now) {
  if (done.commit.value != last_commit_ || !commit_in_flight_) return;
  const Commit commit = *std::exchange(commit_in_flight_, std::nullopt);
  for (const WorkerEnrolled& enrolled : commit.enrolled) {
    const auto found = workers_.find(enrolled.name);
    if (found != workers_.end()) found->second.enrolled = true;
  }
  for (const WorkerName& name : commit.departed) {
    const WorkerState* worker = FindWorker(name);
    if (worker == nullptr || worker->listed) continue;
    // A report that came since may have shown a run.
    if (worker->polls_in_flight > 0 || !worker->placed_runs.empty()) continue;
    EraseWorker(name);
  }
  HandleQueuesCommitted(commit);
  for (auto& [name, worker] : workers_) {
    if (worker.durable_to == worker.committing_to) continue;
    worker.durable_to = worker.committing_to;
    worker.next_poll = now.steady;
  }
}

void Dispatcher::Impl::On(const CommitRejected& rejected, const Now&) {
  if (rejected.commit.value != last_commit_ || !commit_in_flight_) return;
  const Commit commit = *std::exchange(commit_in_flight_, std::nullopt);
  if (max_row_bytes_ <= kMinRowBytes) {
    effects_.emplace_back(ResignOwnership{ResignCause::kCommitsFail});
    return;
  }
  // What was in the commit is durable only after several others.
  for (auto& [name, worker] : workers_) {
    worker.committing_to = worker.durable_to;
  }
  max_row_bytes_ = std::max(kMinRowBytes, max_row_bytes_ / 2);
  max_commit_bytes_ = max_row_bytes_;
  for (const JobProgress& progress : commit.progress) {
    JobState* job = FindJob(progress.job);
    if (job != nullptr) MarkDirty(*job, progress.first_task);
  }
  for (const JobStatus& status : commit.statuses) {
    JobState* job = FindJob(status.job);
    if (job == nullptr) continue;
    job->status_dirty = true;
    MarkDirty(*job, 0);
  }
  for (const WorkerName& name : commit.departed) {
    const auto found = workers_.find(name);
    if (found != workers_.end()) found->second.enrolled = true;
  }
  HandleQueuesRejected(commit);
  // Workers are enrolled and deleted by the next commit, as nothing recorded
  // that they were.
  Decision split;
  split.kind = DecisionKind::kCommitSplit;
  split.detail = std::to_string(max_row_bytes_);
  effects_.emplace_back(std::move(split));
}

void Dispatcher::Impl::MarkDirty(JobState& job, std::uint32_t position) {
  RangeAt(job, position).dirty = true;
  job.dirty = true;
  dirty_.insert(job.job.id);
}

JobProgress Dispatcher::Impl::FittingProgress(JobState& job,
                                              std::size_t& range) {
  JobProgress progress = ProgressOf(job, range);
  const auto fits = [&] {
    return progress.tasks.size() <= kMaxCommitTasks &&
           StoredSizeBound(progress) <= max_row_bytes_;
  };
  while (!fits() && SplitRange(job, range)) {
    ++range;
    progress = ProgressOf(job, range);
  }
  if (fits()) return progress;
  // A single task: its checkpoint makes it this large.
  for (TaskProgress& task : progress.tasks) {
    LogRunDecision(DecisionKind::kCheckpointNotStored, DecisionCause::kNone,
                   {job.job.id, task.occurrence, task.step, task.index}, {}, {},
                   std::to_string(task.checkpoint.size()), {});
    task.checkpoint.clear();
  }
  return progress;
}

bool Dispatcher::Impl::CommitRanges(JobState& job, CommitDraft& draft) {
  // The last range first: until the first half of a split range is written, its
  // row still has the old entries of the second half, which only the row of
  // the second half supersedes.
  for (std::size_t i = job.ranges.size(); i-- > 0;) {
    if (!job.ranges[i].dirty) continue;
    JobProgress progress = FittingProgress(job, i);
    const std::size_t tasks = draft.tasks + progress.tasks.size();
    const std::size_t bytes = draft.bytes + StoredSizeBound(progress);
    const bool fits = RowsOf(draft.commit) + kRowsPerRange <= kMaxCommitRows &&
                      tasks <= kMaxCommitTasks && bytes <= max_commit_bytes_;
    if (!fits && !draft.commit.progress.empty()) return false;
    job.ranges[i].dirty = false;
    draft.commit.progress.push_back(std::move(progress));
    draft.tasks = tasks;
    draft.bytes = bytes;
  }
  return true;
}

void Dispatcher::Impl::CommitJobs(Commit& commit) {
  CommitDraft draft{commit};
  while (!dirty_.empty()) {
    JobState& job = jobs_.at(*dirty_.begin());
    if (!CommitRanges(job, draft)) return;
    if (job.status_dirty) commit.statuses.push_back(StatusOf(job));
    job.status_dirty = false;
    job.dirty = false;
    dirty_.erase(dirty_.begin());
  }
}

void Dispatcher::Impl::CommitWorkers(Commit& commit, TimePoint now) {
  for (auto& [name, worker] : workers_) {
    if (RowsOf(commit) == kMaxCommitRows) return;
    if (HasDeparted(worker, now)) {
      commit.departed.push_back(name);
      // From now on its row may be gone. If it comes back, it is enrolled
      // again by a later commit before it gets work.
      worker.enrolled = false;
    } else if (worker.listed && !worker.enrolled && !worker.leaving &&
               worker.clock) {
      // The next owner waits for enrolled workers, so an entry that no worker
      // answers for is not enrolled.
      commit.enrolled.push_back({name, worker.entry.host, worker.entry.port});
    }
  }
}

void Dispatcher::Impl::SendCommit(const Now& now) {
  if (commit_in_flight_) return;
  Commit commit;
  CommitQueues(commit, now);
  CommitJobs(commit);
  CommitWorkers(commit, now.steady);
  commit.expired = TakeForCommit(expired_);
  commit.forgotten = TakeForCommit(to_forget_);
  // Ended runs are acknowledged only when every job they changed is written.
  if (dirty_.empty()) {
    for (auto& [name, worker] : workers_) {
      worker.committing_to = worker.processed_to;
    }
  }
  if (RowsOf(commit) == 0 && commit.expired.empty() &&
      commit.forgotten.empty()) {
    for (auto& [name, worker] : workers_) {
      worker.durable_to = worker.committing_to;
    }
    return;
  }
  commit.commit = CommitNumber{++last_commit_};
  commit_in_flight_ = commit;
  effects_.emplace_back(std::move(commit));
}

}  // namespace jasminespar::jobs
