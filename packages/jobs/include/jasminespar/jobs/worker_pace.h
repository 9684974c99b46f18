/// @file
/// How fast workers run tasks, learned from what they report.

#ifndef JASMINESPAR_JOBS_WORKER_PACE_H_
#define JASMINESPAR_JOBS_WORKER_PACE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

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
  /// Set for members of a gang: all members of one run do the same work under
  /// the same conditions, so that they differ by their workers alone.
  RunNumber gang_run;
  Duration estimate{};  ///< The step's own, per task.
  Duration total{};     ///< Time that the whole task takes at the shown rate.
  /// Standard error of the logarithm of `total`, without the unevenness of the
  /// tasks of a step.
  double error = 0.0;
  /// Whether the conditions slow all of the gang, which says nothing about the
  /// step's estimate.
  bool slowed = false;
};

/// Separates how far a step's estimate is off from how fast its workers are.
///
/// The logarithm of a run's time divided by its estimate is taken as the sum of
/// an effect of the step (of the gang run, for gangs), one of the worker, and
/// noise. The worker's effect is shrunk towards that of its kind, and that
/// towards 0. Lost with the owner and learned again. Not thread-safe.
class WorkerPaces {
 public:
  /// Adds what one run on the worker shows; replaces the run's earlier sample.
  /// What an earlier incarnation has shown of the worker no longer counts.
  /// @param kind of the worker; workers of a kind are alike until they differ.
  void Record(const WorkerName& worker, Incarnation incarnation,
              const std::string& kind, std::uint32_t task, RunNumber run,
              const PaceSample& sample);

  /// Forgets a worker, or what was learned of an earlier incarnation.
  void Forget(const WorkerName& worker);

  /// Brings the estimates up to date with the samples. The time is linear in
  /// the number of samples, of which at most kMaxSamplesPerWorker are kept for
  /// each worker on average.
  void Refit();

  /// @return run time on the worker divided by that on a usual one, as of the
  ///     last Refit; 1 for an unknown worker.
  [[nodiscard]] Factor SlownessOf(const WorkerName& worker) const;

  /// @return run time of the step's tasks on a usual worker divided by its
  ///     estimate, as of the last Refit.
  [[nodiscard]] Factor EstimateErrorOf(const StepName& step) const;

  /// @return expected run time of a task of the step on the worker.
  [[nodiscard]] Duration RunTime(const StepName& step, Duration estimate,
                                 const WorkerName& worker) const;

  /// @return whether workers are known to differ by more than the uncertainty;
  ///     while they do not, decisions ignore their pace.
  [[nodiscard]] bool WorkersDiffer() const noexcept { return differ_; }

  /// @return number of workers whose pace is known well.
  [[nodiscard]] std::size_t known() const noexcept { return known_; }

  /// @return standard deviation of the logarithm of the known paces.
  [[nodiscard]] double spread() const noexcept { return spread_; }

  [[nodiscard]] std::size_t samples() const noexcept { return samples_; }

  static constexpr std::size_t kMaxSamplesPerWorker = 16;

 private:
  struct Sample {
    std::uint32_t worker = 0;  ///< Index into `workers_`.
    std::uint32_t task = 0;
    RunNumber run;
    double log_ratio = 0;  ///< Of total and estimate.
    double weight = 0;     ///< Inverse variance.
  };

  struct GroupName {
    StepName step;
    RunNumber gang_run;
    auto operator<=>(const GroupName&) const = default;
  };

  struct Group {
    std::vector<Sample> samples;  ///< Ordered by worker.
    bool slowed = false;
    double effect = 0;
    double weight = 0;  ///< Of all its samples.
  };

  /// One incarnation of a worker.
  struct Worker {
    Incarnation incarnation;
    std::uint32_t kind = 0;
    bool current = false;  ///< Of the latest incarnation.
    double effect = 0;
    double variance = 0;
    /// Sums of the fit in progress.
    double weight = 0;
    double weighted = 0;
    std::size_t samples = 0;
  };

  struct Kind {
    double effect = 0;
    double weight = 0;
    double weighted = 0;
  };

  std::uint32_t IndexOf(const WorkerName& worker, Incarnation incarnation,
                        const std::string& kind);
  std::uint32_t KindOf(const std::string& name);
  void DropOldGroups();
  void FitGroup(Group& group);
  void FitWorkers();
  void FitKinds();
  void CompareWorkers();
  void ReleaseUnused();

  std::map<WorkerName, std::uint32_t> index_;
  std::vector<Worker> workers_;
  std::vector<std::uint32_t> unused_;  ///< Free places in `workers_`.
  std::map<std::string, std::uint32_t> kind_index_;
  std::vector<Kind> kinds_;
  std::map<GroupName, Group> groups_;
  std::deque<GroupName> age_;  ///< The groups, oldest first.
  std::size_t samples_ = 0;
  std::size_t known_ = 0;
  double spread_ = 0;
  bool differ_ = false;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_WORKER_PACE_H_
