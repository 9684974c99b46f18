/// @file
/// Plans of preemption: which workers keep room for which step. Private to this
/// package.

#ifndef JASMINESPAR_JOBS_SRC_RECLAIM_PLANS_H_
#define JASMINESPAR_JOBS_SRC_RECLAIM_PLANS_H_

#include <map>
#include <vector>

#include "job_table.h"
#include "placement.h"
#include "worker_pool.h"

namespace jasminespar::jobs {

/// Workers whose resources are reserved for a step that reclaims them.
struct ReclaimPlan {
  std::vector<WorkerName> workers;  ///< One for each waiting task.
  Resources need;                   ///< Of each task.
  TimePoint made_at;
};

/// The plans and what they reserve. A worker may go at any time, so each change
/// takes the workers that there are; one that is missing has nothing reserved.
class ReclaimPlans {
 public:
  /// @return the plan's key, of the step's first task.
  [[nodiscard]] static TaskName KeyOf(const JobState& job,
                                      const StepState& step) {
    return {job.job.id, step.occurrence, step.step, 0};
  }

  /// @return the plan for the step, or null.
  [[nodiscard]] const ReclaimPlan* Find(const TaskName& key) const;

  /// Adds the plan for a step that has none, and reserves its resources.
  void Add(const TaskName& key, ReclaimPlan plan, WorkerMap& workers);

  /// Releases what the plan reserved, if there is one.
  void Cancel(const TaskName& key, WorkerMap& workers);

  /// Cancels the plans that name the worker.
  void CancelOn(const WorkerName& worker, WorkerMap& workers);

  /// Cancels plans that are too old, or whose workers get no new work.
  void CancelStale(WorkerMap& workers, TimePoint now);

 private:
  std::map<TaskName, ReclaimPlan> plans_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_RECLAIM_PLANS_H_
