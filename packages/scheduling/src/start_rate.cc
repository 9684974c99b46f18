#include "jasminespar/scheduling/start_rate.h"

#include <cmath>

namespace jasminespar::scheduling {

double StartRate::DecayFactor(const Average& average, TimePoint now) const {
  return std::exp(-static_cast<double>((now - average.at).count()) /
                  static_cast<double>(window_.count()));
}

void StartRate::RecordStart(Priority priority, std::uint8_t level,
                            int accelerators, TimePoint now) {
  Average& average = averages_[static_cast<std::size_t>(priority)][level];
  const double decay = DecayFactor(average, now);
  average.accelerators = average.accelerators * decay + accelerators;
  average.starts = average.starts * decay + 1;
  average.at = now;
}

std::optional<Duration> StartRate::ExpectedWait(const Demand& demand,
                                                Priority priority,
                                                std::uint8_t level,
                                                double min_starts,
                                                TimePoint now) const {
  double ahead = 0;
  double accelerators = 0;
  double starts = 0;
  const auto own = static_cast<std::size_t>(priority);
  for (std::size_t p = 0; p <= own; ++p) {
    for (std::size_t l = 0; l < kServiceLevels; ++l) {
      if (p == own && l > level) break;
      const Average& average = averages_[p][l];
      const double decay = DecayFactor(average, now);
      ahead += static_cast<double>(demand[p][l]);
      accelerators += average.accelerators * decay;
      starts += average.starts * decay;
    }
  }
  if (ahead == 0) return Duration{};
  if (starts < min_starts) return std::nullopt;
  return Duration{static_cast<Duration::rep>(
      ahead / accelerators * static_cast<double>(window_.count()))};
}

}  // namespace jasminespar::scheduling
