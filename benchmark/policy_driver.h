/// @file
/// Runs a trace against a Scheduler in virtual time.

#ifndef JASMINESPAR_BENCHMARK_POLICY_DRIVER_H_
#define JASMINESPAR_BENCHMARK_POLICY_DRIVER_H_

#include <cstdint>
#include <vector>

#include "jasminespar/scheduling/scheduler.h"
#include "policy_trace.h"

namespace jasminespar::benchmark {

/// How a reclaimed gang stops and comes back.
struct ReclaimModel {
  Duration checkpoint = 1s;  ///< From the order to the release.
  Duration restart = 2s;     ///< Added to the run time that is left.
  bool keeps_progress = true;
};

/// Raw results of one or more cells; seconds.
struct Results {
  std::vector<double> completion;
  std::vector<double> large_completion;  ///< Gangs of eight and more.
  std::vector<double> short_wait;        ///< Until the first start.
  std::uint64_t crest_jobs = 0;          ///< Short ones that came at a crest.
  std::uint64_t crest_in_time = 0;
  std::uint64_t jobs = 0;
  std::uint64_t refused = 0;
  std::uint64_t dropped = 0;
  std::uint64_t reclaims = 0;
  std::uint64_t guaranteed = 0;      ///< Calls within an unused guarantee.
  std::uint64_t missed = 0;          ///< Of these, not started in time.
  double waiting_seconds = 0;        ///< Time in which any job waited.
  double idle_share_seconds = 0;     ///< Free share, integrated over it.
  double largest_shape_seconds = 0;  ///< Largest adjacent free shape, same.
};

/// Adds the results of one cell.
void RunTrace(const Trace& trace, const scheduling::PolicySettings& settings,
              const ReclaimModel& reclaim, Results& results);

}  // namespace jasminespar::benchmark

#endif  // JASMINESPAR_BENCHMARK_POLICY_DRIVER_H_
