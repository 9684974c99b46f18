/// @file
/// Learns which workers are slower than others. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_WORKER_SPEED_H_
#define JASMINESPAR_JOBS_SRC_WORKER_SPEED_H_

#include <algorithm>
#include <cstdint>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// Run times of the completed tasks of one step. The tasks of a step do about
/// the same work, so that their run times compare the workers.
class StepRunTimes {
 public:
  /// @return how many times as long as the mean of those before it the run
  ///     took; 0 while too few are known.
  [[nodiscard]] double Add(Duration run_time) noexcept {
    constexpr std::uint32_t kMinCompared = 3;
    const double time = static_cast<double>(run_time.count());
    const double mean = count_ == 0 ? 0 : sum_ / count_;
    sum_ += time;
    return count_++ < kMinCompared || mean <= 0 ? 0 : time / mean;
  }

 private:
  double sum_ = 0;  ///< Microseconds.
  std::uint32_t count_ = 0;
};

/// How much longer than others one worker takes for the same work.
class WorkerSpeed {
 public:
  /// @param ratio as StepRunTimes::Add returns it; 0 is ignored.
  void Record(double ratio) noexcept {
    constexpr double kMaxRatio = 3;
    constexpr std::uint32_t kMemory = 6;  ///< Runs; later ones replace earlier.
    if (ratio <= 0) return;
    runs_ = std::min(runs_ + 1, kMemory);
    slowness_ += (std::min(ratio, kMaxRatio) - slowness_) / runs_;
  }

  [[nodiscard]] bool slow() const noexcept {
    constexpr std::uint32_t kMinRuns = 2;
    constexpr double kSlowRatio = 1.15;
    return runs_ >= kMinRuns && slowness_ > kSlowRatio;
  }

 private:
  double slowness_ = 1;
  std::uint32_t runs_ = 0;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_WORKER_SPEED_H_
