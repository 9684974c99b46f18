// Ended jobs and early cancellations: how long they are kept, and when they are
// forgotten.
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// Until the deletion of a row that the table still has is requested again.
/// Longer than one request may take.
constexpr Duration kDeletionRetryInterval = 15s;

}  // namespace

void Dispatcher::Impl::ForgetOldJobs(const Now& now) {
  for (auto at = jobs_.begin(); at != jobs_.end();) {
    JobState& job = at->second;
    const bool expired =
        !job.live() && !job.dirty &&
        now.steady - job.final_at >= settings_.status_retention;
    // As long as the table has its row, it may be given again, and would run
    // again if it were not known.
    if (expired && !job.row_deleted) {
      RequestDeletion(at->first, job.deletion_requested_at, now);
    }
    if (!expired || !job.row_deleted) {
      ++at;
      continue;
    }
    ForgottenJob forgotten{at->first, {}};
    for (const ProgressRange& range : job.ranges) {
      forgotten.progress_rows.push_back(range.first_task);
    }
    to_forget_.push_back(std::move(forgotten));
    at = jobs_.erase(at);
  }
  for (auto& [job, cancellation] : cancelled_early_) {
    if (now.steady - cancellation.since < settings_.status_retention) continue;
    RequestDeletion(job, cancellation.deletion_requested_at, now);
  }
}

void Dispatcher::Impl::RequestDeletion(const JobId& job,
                                       std::optional<TimePoint>& requested_at,
                                       const Now& now) {
  if (requested_at && now.steady - *requested_at < kDeletionRetryInterval) {
    return;
  }
  requested_at = now.steady;
  expired_.push_back(job);
}

void Dispatcher::Impl::On(const JobRowDeleted& deleted, const Now&) {
  JobState* job = FindJob(deleted.job);
  if (job != nullptr) job->row_deleted = true;
}

void Dispatcher::Impl::On(const JobRowsListed& listed, const Now&) {
  for (auto& [id, job] : jobs_) {
    if (!listed.jobs.contains(id)) job.row_deleted = true;
  }
}

void Dispatcher::Impl::On(const CancellationRowDeleted& deleted, const Now&) {
  if (cancelled_early_.erase(deleted.job) == 0) return;
  to_forget_.push_back({deleted.job, {}});
}

}  // namespace jasminespar::jobs
