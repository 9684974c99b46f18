/// @file
/// How fast workers run tasks, learned from what they report.

#ifndef JASMINESPAR_JOBS_WORKER_PACE_H_
#define JASMINESPAR_JOBS_WORKER_PACE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "jasminespar/core/time.h"
#include "jasminespar/jobs/worker.h"

namespace jasminespar::jobs {

/// An estimated factor and how uncertain it is.
struct Factor {
  double value = 1.0;
  /// Standard error of the factor's logarithm; 0: certain.
  double error = 0.0;
};

/// A step of a job, whose tasks are alike.
struct StepName {
  JobId job;
  std::uint32_t step = 0;
  auto operator<=>(const StepName&) const = default;
};

/// What a report or an end shows of a run.
struct PaceSample {
  StepName step;
  Duration estimate{};  ///< The step's own, per task.
  Duration total{};     ///< Time that the whole task takes at the shown rate.
  /// Of the whole task that the sample covers, from 0 to 1.
  double share = 0.0;
};

/// Separates how far a step's estimate is off from how fast its workers are.
/// Lost with the owner and learned again from reports. Not thread-safe.
class WorkerPaces {
 public:
  /// Adds what one run on the worker shows; replaces the run's earlier sample.
  /// @param kind of the worker; workers of a kind are alike until they differ.
  void Record(const WorkerName& worker, Incarnation incarnation,
              const std::string& kind, const TaskName& task, RunNumber run,
              const PaceSample& sample);

  /// Forgets the samples of a job.
  void Forget(const JobId& job);

  /// @return run time on the worker divided by that on a usual one.
  [[nodiscard]] Factor SlownessOf(const WorkerName& worker) const;

  /// @return run time of the step's tasks on a usual worker divided by its
  ///     estimate.
  [[nodiscard]] Factor EstimateErrorOf(const StepName& step) const;

  /// @return expected run time of a task of the step on the worker.
  [[nodiscard]] Duration RunTime(const StepName& step, Duration estimate,
                                 const WorkerName& worker) const;

  /// @return whether workers are known to differ by more than the uncertainty;
  ///     while they do not, decisions ignore their pace.
  [[nodiscard]] bool WorkersDiffer() const;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_WORKER_PACE_H_
