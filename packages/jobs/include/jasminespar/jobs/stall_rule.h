/// @file
/// Decides which runs have stalled. The same rule holds for tasks of seconds
/// and of days, for single tasks and for gangs: a run may show the same
/// progress for a share of its run time, as far as that is known.

#ifndef JASMINESPAR_JOBS_STALL_RULE_H_
#define JASMINESPAR_JOBS_STALL_RULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// No run is taken for stalled that has shown progress within this time.
inline constexpr Duration kMinStallPatience = 5s;

/// What the reports of a run have shown so far.
struct RunProgress {
  std::uint32_t percent = 0;
  /// Since when its rate is known; unset: no report has shown it yet.
  std::optional<TimePoint> rate_since;
  std::uint32_t rate_from = 0;  ///< The percent at `rate_since`.
  TimePoint progressed_at;      ///< Of the last report that showed progress.
  TimePoint reported_at;        ///< Of the last report that listed it.
  /// Every run on its worker, of two at least, has made no progress for long,
  /// while other workers' runs go on.
  bool worker_stands = false;
};

/// Runs that are judged together: one task, or all members of a gang.
struct RunGroup {
  std::vector<RunProgress> members;
  Duration estimate{};  ///< Of the step; a rough one.
  /// Longest run time that a run of the same step shows, of any task.
  std::optional<Duration> fellows_run_time;
  /// Earlier runs of it that were stopped as stalled.
  std::uint32_t stops = 0;
};

/// @return how long the run has shown the same progress. The time of the last
///     report counts, not the present: a worker that reports nothing may be
///     slow to answer while its runs go on.
[[nodiscard]] Duration StoodFor(const RunProgress& run);

/// @return how long the whole task takes at the rate that the run has shown;
///     nothing if it has shown none.
[[nodiscard]] std::optional<Duration> ShownRunTime(const RunProgress& run);

/// @param member index of it.
/// @return how long the member may show the same progress. Its own rate counts
///     before that of other runs of the step, and these before the estimate.
///     Doubles with each earlier stop.
[[nodiscard]] Duration PatienceWith(const RunGroup& group, std::size_t member);

/// A gang ends together, so that only its member that is behind can hold it up:
/// the others may be waiting.
/// @return the index of the member to blame when the group has stalled; nothing
///     while it may still be sound.
[[nodiscard]] std::optional<std::size_t> FindStalled(const RunGroup& group);

/// @param workers of the service.
/// @return on how many of them runs may be stopped as stalled at about the same
///     time. If more stand, the workers are not the likely cause.
[[nodiscard]] std::size_t MaxStalledWorkers(std::size_t workers);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_STALL_RULE_H_
