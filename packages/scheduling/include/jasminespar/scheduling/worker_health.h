/// @file
/// Tells workers that fail everything from jobs that fail everywhere.

#ifndef JASMINESPAR_SCHEDULING_WORKER_HEALTH_H_
#define JASMINESPAR_SCHEDULING_WORKER_HEALTH_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::scheduling {

struct HealthSettings {
  std::uint32_t quarantine_failures = 3;
  Duration quarantine_time = 10s;
  std::uint32_t poison_failures = 3;
};

/// Circuit breaker of each worker and failures of each job.
///
/// A job charges a worker at most once, and only until it has failed on a
/// second one: then the charge is withdrawn, for the job is the likelier
/// cause. At most a quarter of the workers are in quarantine at once.
class WorkerHealth {
 public:
  explicit WorkerHealth(const HealthSettings& settings) : settings_(settings) {}

  void RecordSuccess(const CallId& job, WorkerId worker);
  /// @param workers workers of the cell.
  /// @return whether the worker goes into quarantine.
  bool RecordFailure(const CallId& job, WorkerId worker, std::size_t workers,
                     TimePoint now);
  [[nodiscard]] bool IsPoison(const CallId& job) const;

  /// Ends the quarantines that are over. The next result of such a worker is
  /// a probe: one failure puts it back for twice the time.
  /// @return the workers that may be used again.
  [[nodiscard]] std::vector<WorkerId> TakeRecovered(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextRecovery() const;

 private:
  struct Record {
    std::vector<CallId> charges;  ///< Consecutive failures, distinct jobs.
    bool probing = false;
    bool quarantined = false;
    std::uint32_t quarantines = 0;  ///< Without a success between them.
    TimePoint until;
  };
  struct Failures {
    std::vector<WorkerId> workers;  ///< Distinct healthy ones.
  };
  void Withdraw(const CallId& job, const Failures& failures);
  Failures& FailuresOf(const CallId& job);

  HealthSettings settings_;
  std::unordered_map<WorkerId, Record> records_;
  std::unordered_map<CallId, Failures> failures_;
  std::deque<CallId> oldest_;  ///< Bounds `failures_`.
  std::uint32_t quarantined_ = 0;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_WORKER_HEALTH_H_
