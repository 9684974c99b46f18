/// @file
/// Distinguishes workers on which all jobs fail from jobs that fail everywhere.

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

/// See the fields of the same names in PolicySettings.
struct HealthSettings {
  std::uint32_t quarantine_failures = 3;
  Duration quarantine_time = 10s;
  std::uint32_t poison_failures = 3;
};

/// A circuit breaker for each worker and the failures of each job. Not
/// thread-safe.
///
/// A job counts at most once against a worker. Once it has failed on a second
/// worker, it counts against none of them, since the job is then the more
/// likely cause. At most a quarter of the workers are quarantined at once, or
/// one in a cell of two to seven workers; the only worker of a cell never is.
class WorkerHealth {
 public:
  explicit WorkerHealth(const HealthSettings& settings) : settings_(settings) {}

  void RecordSuccess(const CallId& job, WorkerId worker);
  /// @param workers number of workers of the cell.
  /// @return whether the worker is quarantined as a result.
  bool RecordFailure(const CallId& job, WorkerId worker, std::size_t workers,
                     TimePoint now);
  /// @return whether the job failed on `poison_failures` or more distinct
  ///     healthy workers.
  [[nodiscard]] bool IsPoison(const CallId& job) const;

  /// Ends the quarantines that have expired. The next result of such a worker
  /// is a probe: a failure quarantines it again, for twice the time.
  /// @return the workers that may be used again, in order of id.
  [[nodiscard]] std::vector<WorkerId> EndExpiredQuarantines(TimePoint now);
  /// @return when the next quarantine expires, or nothing if there is none.
  [[nodiscard]] std::optional<TimePoint> NextQuarantineEnd() const;

 private:
  struct WorkerRecord {
    std::vector<CallId> failed_jobs;  ///< Distinct, since the last success.
    bool probing = false;
    bool quarantined = false;
    std::uint32_t quarantines = 0;  ///< Since the last success.
    TimePoint until;                ///< End of the quarantine.
  };
  struct Failures {
    std::vector<WorkerId> workers;  ///< Distinct and healthy.
  };
  void WithdrawFailures(const CallId& job, const Failures& failures);
  Failures& FailuresOf(const CallId& job);

  HealthSettings settings_;
  std::unordered_map<WorkerId, WorkerRecord> records_;
  std::unordered_map<CallId, Failures> failures_;
  std::deque<CallId> insertion_order_;  ///< Limits the size of `failures_`.
  std::uint32_t quarantined_ = 0;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_WORKER_HEALTH_H_
