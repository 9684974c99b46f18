/// @file
/// What must outlive the owner of a cell: how far each job has come.

#ifndef JASMINESPAR_JOBS_PROGRESS_H_
#define JASMINESPAR_JOBS_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// Recorded ends of one task; only tasks with an end have one.
struct TaskProgress {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  bool done = false;
  /// Runs that failed, each once: their ends come in any order after a
  /// takeover.
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;  ///< Newest known; empty: none.
  bool operator==(const TaskProgress&) const = default;
};

struct JobProgress {
  JobId job;
  JobPhase phase = JobPhase::kQueued;
  std::vector<TaskProgress> tasks;
};

/// What every instance shows of a job.
struct JobStatus {
  JobId job;
  QueueId queue;
  JobPhase phase = JobPhase::kQueued;
  WallTime accepted_at;
  bool timed = false;  ///< Runs at set times, and is not counted as pending.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_PROGRESS_H_
