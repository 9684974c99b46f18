#include "worker_pool.h"

#include <algorithm>
#include <chrono>

namespace jasminespar::jobs {

namespace {

/// Covers the transit of an order and the rounding of clocks.
constexpr Duration kLeaseMargin = 250ms;

/// A task that lasts is to run again within this time after its worker was
/// lost.
constexpr Duration kLastingAbsence = 9s;

/// From the end of a lease until the task runs elsewhere.
constexpr Duration kRestartMargin = 300ms;

constexpr Duration kLastingLease =
    (kLastingAbsence - kLeaseMargin - kRestartMargin) * 100 /
    (100 + kClockDriftPercent);

}  // namespace

void LeaseBound::Renew(TimePoint bound, TimePoint now) noexcept {
  renewed_at = now;
  if (bound <= expires_at) return;
  expires_at = bound;
  basis = LeaseBasis::kOwnOrders;
}

void LeaseBound::Limit(TimePoint bound, LeaseBasis reason) noexcept {
  if (bound >= expires_at) return;
  expires_at = bound;
  basis = reason;
}

bool WorkerState::HasStray() const {
  return std::any_of(placed_runs.begin(), placed_runs.end(),
                     [](const auto& entry) { return entry.second.stray; });
}

bool WorkerState::HasLastingRun() const {
  return std::any_of(placed_runs.begin(), placed_runs.end(),
                     [](const auto& entry) { return entry.second.lasting; });
}

std::uint64_t WorkerState::AcknowledgeTo() const {
  if (durable_to <= acknowledged_to) return 0;
  const bool certain = std::all_of(
      placed_runs.begin(), placed_runs.end(),
      [](const auto& each) { return each.second.in_known_process; });
  return certain ? durable_to : 0;
}

std::vector<TaskName> PlacedTasksOf(const WorkerState& worker,
                                    const JobId& job) {
  std::vector<TaskName> tasks;
  // Runs are ordered by job.
  auto at = worker.placed_runs.lower_bound({job, 0, 0, 0});
  for (; at != worker.placed_runs.end() && at->first.job == job; ++at) {
    tasks.push_back(at->first);
  }
  return tasks;
}

std::optional<Duration> TimeLeftOf(const WorkerState& worker,
                                   WorkerClock clock) {
  const WorkerEntry& entry = worker.entry;
  if (!entry.leaving || !entry.time_left || entry.clock.value == 0 ||
      clock < entry.clock) {
    return std::nullopt;
  }
  const auto age = static_cast<std::int64_t>(clock.value - entry.clock.value);
  return *entry.time_left - std::chrono::milliseconds(age);
}

std::optional<WorkerUnfit> UnfitReason(const WorkerState& worker,
                                       TimePoint now) {
  if (!worker.listed) return WorkerUnfit::kUnlisted;
  if (!worker.enrolled) return WorkerUnfit::kNotEnrolled;
  if (!worker.reconciled) return WorkerUnfit::kNotReconciled;
  if (worker.leaving) return WorkerUnfit::kLeaving;
  if (worker.emptied) return WorkerUnfit::kEmptied;
  if (worker.silent) return WorkerUnfit::kSilent;
  if (worker.reports.in_doubt()) return WorkerUnfit::kInDoubt;
  if (!worker.clock) return WorkerUnfit::kClockUnknown;
  if (now - worker.last_answer >= kMaxAnswerAge) return WorkerUnfit::kAnswerOld;
  if (now < worker.quarantined_until) return WorkerUnfit::kQuarantined;
  if (worker.HasStray()) return WorkerUnfit::kStray;
  return std::nullopt;
}

bool IsUsable(const WorkerState& worker, TimePoint now) {
  return !UnfitReason(worker, now);
}

bool HasDeparted(const WorkerState& worker, TimePoint now) {
  if (!worker.enrolled || !worker.reconciled) return false;
  if (!worker.placed_runs.empty()) return false;
  if (worker.listed && worker.leaving) {
    return worker.processed_to == worker.durable_to;
  }
  return !worker.listed && now >= worker.lease.expires_at;
}

bool IsSuited(const WorkerState& worker, const StepSpec& spec,
              const ServiceId& service) {
  if (worker.entry.service != service) return false;
  if (spec.required_label.empty()) return true;
  const std::vector<std::string>& labels = worker.entry.labels;
  return std::find(labels.begin(), labels.end(), spec.required_label) !=
         labels.end();
}

Duration LeaseOf(const WorkerState& worker, Duration max_lease) {
  return worker.HasLastingRun() ? std::min(max_lease, kLastingLease)
                                : max_lease;
}

WorkerClock LeaseUntil(const WorkerState& worker, Duration max_lease,
                       TimePoint now) {
  if (!worker.clock) return WorkerClock{};
  // The worker's clock shows at least this much more by now.
  const Duration elapsed =
      (now - worker.clock_at) * (100 - kClockDriftPercent) / 100;
  return WorkerClock{
      worker.clock->value +
      static_cast<std::uint64_t>(ToMilliseconds(elapsed + max_lease))};
}

TimePoint LeaseExpiryBound(Duration max_lease, TimePoint now) {
  return now + max_lease * (100 + kClockDriftPercent) / 100 + kLeaseMargin;
}

}  // namespace jasminespar::jobs
