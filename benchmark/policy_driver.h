/// @file
/// Runs the scheduler on a trace, in virtual time.

#ifndef JASMINESPAR_BENCHMARK_POLICY_DRIVER_H_
#define JASMINESPAR_BENCHMARK_POLICY_DRIVER_H_

#include <cstdint>
#include <vector>

#include "jasminespar/scheduling/scheduler.h"
#include "policy_trace.h"

namespace jasminespar::benchmark {

/// How a reclaimed gang stops and restarts.
struct ReclaimModel {
  Duration checkpoint = 1s;  ///< From the reclaim to the release.
  Duration restart = 2s;     ///< Added to the remaining run time.
  bool keeps_progress = true;
};

/// Raw results of one or more cells; times are in seconds.
struct Results {
  std::vector<double> completion;
  std::vector<double> large_completion;  ///< Gangs of at least eight.
  std::vector<double> short_wait;        ///< Until the first start.
  std::uint64_t peak_jobs = 0;           ///< Short jobs that arrived in a peak.
  std::uint64_t peak_in_time = 0;        ///< Of these, done by the deadline.
  std::uint64_t jobs = 0;
  std::uint64_t refused = 0;
  std::uint64_t dropped = 0;
  std::uint64_t reclaims = 0;
  std::uint64_t guaranteed = 0;   ///< Calls within an unused guarantee.
  std::uint64_t missed = 0;       ///< Of these, started too late or not.
  double waiting_seconds = 0;     ///< Time with at least one waiting job.
  double idle_share_seconds = 0;  ///< Free share, integrated over that time.
  /// Largest free set of adjacent accelerators, integrated over that time.
  double largest_shape_seconds = 0;
};

/// Runs the trace of one cell.
/// @param results the cell's results are added to it.
void RunTrace(const Trace& trace, const scheduling::PolicySettings& settings,
              const ReclaimModel& reclaim, Results& results);

}  // namespace jasminespar::benchmark

#endif  // JASMINESPAR_BENCHMARK_POLICY_DRIVER_H_
