/// @file
/// Measures the rate at which waiting jobs start and estimates the wait of a
/// new job from it.

#ifndef JASMINESPAR_SCHEDULING_START_RATE_H_
#define JASMINESPAR_SCHEDULING_START_RATE_H_

#include <array>
#include <cstdint>
#include <optional>

#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"
#include "jasminespar/scheduling/job_table.h"
#include "jasminespar/scheduling/waiting_queue.h"

namespace jasminespar::scheduling {

/// Starts by priority and service level, with exponential decay. Not
/// thread-safe.
class StartRate {
 public:
  /// @param window time after which a start has decayed to 1/e.
  explicit StartRate(Duration window) : window_(window) {}

  void RecordStart(Priority priority, std::uint8_t level, int accelerators,
                   TimePoint now);

  /// @param demand accelerators that waiting jobs ask for.
  /// @param min_starts decayed number of starts needed for an estimate.
  /// @return the expected time until all work ahead of a new job has started:
  ///     waiting jobs of a better priority, and those of the same priority at
  ///     the same or a better level. Nothing if too few jobs have started
  ///     recently.
  [[nodiscard]] std::optional<Duration> ExpectedWait(const Demand& demand,
                                                     Priority priority,
                                                     std::uint8_t level,
                                                     double min_starts,
                                                     TimePoint now) const;

 private:
  /// Decayed sums, as of the time `at`.
  struct Average {
    double accelerators = 0;
    double starts = 0;
    TimePoint at;
  };
  [[nodiscard]] double DecayFactor(const Average& average, TimePoint now) const;

  Duration window_;
  std::array<std::array<Average, kServiceLevels>, kPriorityNames.size()>
      averages_{};
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_START_RATE_H_
