/// @file
/// Decides which runs have stalled. The same rule holds for tasks of seconds
/// and of hours, for single tasks and for gangs.

#ifndef JASMINESPAR_JOBS_STALL_RULE_H_
#define JASMINESPAR_JOBS_STALL_RULE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// What the reports of a run have shown so far.
struct RunProgress {
  TimePoint confirmed_at;   ///< When its worker first confirmed it.
  TimePoint progressed_at;  ///< Of the last report that showed progress.
  TimePoint reported_at;    ///< Of the last report that listed it.
  std::uint32_t percent = 0;
  std::uint32_t percent_at_start = 0;  ///< It resumed from there.
};

/// Runs that are judged together: one task, or all members of a gang.
struct RunGroup {
  std::vector<RunProgress> members;
  Duration estimate{};  ///< Of the step; a rough one.
  std::uint32_t stops =
      0;  ///< Earlier runs of it that were stopped as stalled.
};

/// @return how long the group may go on without progress of any member before
///     it counts as stalled.
[[nodiscard]] Duration PatienceOf(const RunGroup& group);

/// @return the index of the member to blame when the group has stalled; nothing
///     while it may still be sound.
[[nodiscard]] std::optional<std::size_t> FindStalled(const RunGroup& group);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_STALL_RULE_H_
