/// @file
/// What a delay or a refusal costs the caller of a job. Decisions under load
/// compare these costs.

#ifndef JASMINESPAR_JOBS_CALLER_COST_H_
#define JASMINESPAR_JOBS_CALLER_COST_H_

#include <cstdint>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// A job as the decisions under load see it.
struct JobOutlook {
  std::uint32_t priority = 0;
  Duration age{};        ///< Since it was accepted.
  Duration objective{};  ///< Age by which its caller wants it to be complete.
  Duration left{};       ///< Expected time to its end if it runs from now on.
  double core_seconds_done = 0.0;
  double core_seconds_left = 0.0;
  std::uint32_t preemptions = 0;  ///< Of its runs so far.
};

/// @return what its caller gains, in units of one job of the lowest priority
///     that is complete in time, if the job ends `delay` later than it could.
[[nodiscard]] double GainOf(const JobOutlook& job, Duration delay);

/// @return the gain that a delay of the job takes from its caller.
[[nodiscard]] double CostOfDelay(const JobOutlook& job, Duration delay);

/// @return the cost of stopping the job's runs and starting them again later.
/// @param lost core-seconds of work that the stop discards.
/// @param wait expected time until they can start again.
[[nodiscard]] double CostOfPreemption(const JobOutlook& job, double lost,
                                      Duration wait);

/// @return gain per core-second of room; waiting jobs are served in descending
///     order of it within their priority.
[[nodiscard]] double GainDensity(const JobOutlook& job);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_CALLER_COST_H_
