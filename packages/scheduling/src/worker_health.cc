#include "jasminespar/scheduling/worker_health.h"

#include <algorithm>

namespace jasminespar::scheduling {
namespace {

constexpr std::size_t kMaxFailingJobs = 10'000;
constexpr std::size_t kQuarantinedDivisor = 4;  ///< At most 1 / this.
constexpr std::uint32_t kMaxDoublings = 5;

}  // namespace

void WorkerHealth::RecordSuccess(const CallId& job, WorkerId worker) {
  failures_.erase(job);
  const auto found = records_.find(worker);
  if (found == records_.end()) return;
  if (found->second.quarantined) return;  // Its task began earlier.
  records_.erase(found);
}

WorkerHealth::Failures& WorkerHealth::FailuresOf(const CallId& job) {
  const auto found = failures_.find(job);
  if (found != failures_.end()) return found->second;
  if (insertion_order_.size() >= kMaxFailingJobs) {
    failures_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  insertion_order_.push_back(job);
  return failures_[job];
}

void WorkerHealth::WithdrawFailures(const CallId& job,
                                    const Failures& failures) {
  for (const WorkerId worker : failures.workers) {
    const auto found = records_.find(worker);
    if (found != records_.end()) std::erase(found->second.failed_jobs, job);
  }
}

bool WorkerHealth::RecordFailure(const CallId& job, WorkerId worker,
                                 std::size_t workers, TimePoint now) {
  WorkerRecord& record = records_[worker];
  if (record.quarantined) return false;
  Failures& failures = FailuresOf(job);
  const bool seen = std::find(failures.workers.begin(), failures.workers.end(),
                              worker) != failures.workers.end();
  const bool healthy = !record.probing && record.failed_jobs.size() + 1 <
                                              settings_.quarantine_failures;
  if (!seen && healthy) failures.workers.push_back(worker);
  if (failures.workers.size() > 1) {
    WithdrawFailures(job, failures);
    return false;
  }
  if (std::find(record.failed_jobs.begin(), record.failed_jobs.end(), job) ==
      record.failed_jobs.end()) {
    record.failed_jobs.push_back(job);
  }
  const bool enough =
      record.failed_jobs.size() >= settings_.quarantine_failures;
  if (!enough && !record.probing) return false;
  const std::size_t most =
      std::max<std::size_t>(1, workers / kQuarantinedDivisor);
  if (workers < 2 || quarantined_ >= most) return false;
  const auto doublings = std::min(record.quarantines, kMaxDoublings);
  record.until = now + settings_.quarantine_time * (1LL << doublings);
  record.quarantined = true;
  record.probing = false;
  record.failed_jobs.clear();
  ++record.quarantines;
  ++quarantined_;
  return true;
}

bool WorkerHealth::IsPoison(const CallId& job) const {
  const auto found = failures_.find(job);
  return found != failures_.end() &&
         found->second.workers.size() >= settings_.poison_failures;
}

std::vector<WorkerId> WorkerHealth::EndExpiredQuarantines(TimePoint now) {
  std::vector<WorkerId> recovered;
  if (quarantined_ == 0) return recovered;
  for (auto& [worker, record] : records_) {
    if (!record.quarantined || record.until > now) continue;
    record.quarantined = false;
    record.probing = true;
    --quarantined_;
    recovered.push_back(worker);
  }
  std::sort(recovered.begin(), recovered.end());
  return recovered;
}

std::optional<TimePoint> WorkerHealth::NextQuarantineEnd() const {
  if (quarantined_ == 0) return std::nullopt;
  std::optional<TimePoint> next;
  for (const auto& [worker, record] : records_) {
    if (!record.quarantined) continue;
    if (!next || record.until < *next) next = record.until;
  }
  return next;
}

}  // namespace jasminespar::scheduling
