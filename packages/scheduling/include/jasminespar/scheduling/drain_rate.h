/// @file
/// Measures how fast waiting work starts, to tell how long a new job waits.

#ifndef JASMINESPAR_SCHEDULING_DRAIN_RATE_H_
#define JASMINESPAR_SCHEDULING_DRAIN_RATE_H_

#include <array>
#include <cstdint>
#include <optional>

#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"
#include "jasminespar/scheduling/job_table.h"
#include "jasminespar/scheduling/waiting_queue.h"

namespace jasminespar::scheduling {

/// Starts by priority and level, averaged with exponential decay.
class DrainRate {
 public:
  explicit DrainRate(Duration window) : window_(window) {}

  void RecordStart(Priority priority, std::uint8_t level, int accelerators,
                   TimePoint now);

  /// @param demand accelerators that wait.
  /// @param min_starts in the window, before the rate is believed.
  /// @return how long the work ahead of a new job takes to start, or nothing
  ///     when too little has started lately.
  [[nodiscard]] std::optional<Duration> ExpectedWait(const Demand& demand,
                                                     Priority priority,
                                                     std::uint8_t level,
                                                     double min_starts,
                                                     TimePoint now) const;

 private:
  struct Average {
    double accelerators = 0;
    double starts = 0;
    TimePoint at;
  };
  [[nodiscard]] double DecayTo(const Average& average, TimePoint now) const;

  Duration window_;
  std::array<std::array<Average, kServiceLevels>, kPriorityNames.size()>
      averages_{};
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_DRAIN_RATE_H_
