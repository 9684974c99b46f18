/// @file
/// Durable progress of jobs, read by the next owner of a cell.

#ifndef JASMINESPAR_JOBS_PROGRESS_H_
#define JASMINESPAR_JOBS_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// Durable progress of one task. Only a task that is done, has a failed run or
/// has a checkpoint has an entry.
struct TaskProgress {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  bool done = false;
  /// Failed runs, each once. A list and not a count, because ends can be
  /// reported in any order after a takeover.
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;  ///< Latest known; empty: none.
  bool operator==(const TaskProgress&) const = default;
};

/// Durable progress of a range of a job's tasks; one row of the table. The
/// tasks are counted through all occurrences and their steps. A range ends
/// where the job's next one begins.
struct JobProgress {
  JobId job;
  JobPhase phase = JobPhase::kQueued;
  std::vector<TaskProgress> tasks;
  std::uint32_t first_task = 0;  ///< Position of the first task of the range.
};

/// @return upper bound of the bytes that the stored form of the progress takes.
[[nodiscard]] std::size_t StoredSizeBound(const JobProgress& progress);

/// Status of a job as every instance reports it to callers.
struct JobStatus {
  JobId job;
  QueueId queue;
  JobPhase phase = JobPhase::kQueued;
  WallTime accepted_at;
  bool timed = false;  ///< Repeats on a schedule; not counted as pending.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_PROGRESS_H_
