/// @file
/// What the reports of one run show of its pace. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_PACE_PROBE_H_
#define JASMINESPAR_JOBS_SRC_PACE_PROBE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// A time that a whole task would take, seen from a part of it.
struct ObservedTime {
  Duration total{};
  double error = 0;  ///< Standard error of its logarithm.
};

/// Follows the percents of one run. A percent is a whole number, rounded down.
class PaceProbe {
 public:
  /// @return whether it is not decided yet where the measurement begins.
  [[nodiscard]] bool fresh() const noexcept { return fresh_; }

  /// The run began with nothing done, at a time that is known.
  void BeginAt(TimePoint start) noexcept {
    fresh_ = false;
    from_start_ = true;
    from_ = start;
  }

  /// The time or the percent of the start is not known: the pace is measured
  /// from the first change that a report shows.
  void BeginAtFirstChange() noexcept { fresh_ = false; }

  /// @param percent of a report that shows another percent than the one before.
  /// @return nothing while it shows too little more than the last time.
  [[nodiscard]] std::optional<ObservedTime> OnChange(std::uint32_t percent,
                                                     TimePoint now) noexcept {
    if (!from_) {
      from_ = now;
      from_percent_ = percent;
      return std::nullopt;
    }
    // A member of a gang that has finished waits for the others.
    if (percent > kMaxPercent || percent < from_percent_) return std::nullopt;
    const std::uint32_t gained = percent - from_percent_;
    if (gained < kMinGain || gained < kGainFactor * seen_gain_) {
      return std::nullopt;
    }
    const Duration elapsed = now - *from_;
    if (elapsed < kMinElapsed) return std::nullopt;
    seen_gain_ = gained;
    const double share = (gained + (from_start_ ? kHalf : 0.0)) / kWhole;
    const double rounding =
        (from_start_ ? kStartRounding : kChangeRounding) / gained;
    const double timing = static_cast<double>(kTimingError.count()) /
                          static_cast<double>(elapsed.count());
    return ObservedTime{Duration(static_cast<Duration::rep>(
                            static_cast<double>(elapsed.count()) / share)),
                        std::hypot(rounding, timing)};
  }

  /// @return the time of the whole run, from its start to its end now; nothing
  ///     if its start is not known.
  [[nodiscard]] std::optional<ObservedTime> OnEnd(
      TimePoint now) const noexcept {
    if (!from_ || !from_start_) return std::nullopt;
    const Duration elapsed = now - *from_;
    if (elapsed < kMinElapsed) return std::nullopt;
    return ObservedTime{elapsed, static_cast<double>(kEndError.count()) /
                                     static_cast<double>(elapsed.count())};
  }

 private:
  static constexpr std::uint32_t kMaxPercent = 95;
  static constexpr std::uint32_t kMinGain = 5;
  static constexpr std::uint32_t kGainFactor = 2;
  static constexpr double kHalf = 0.5;
  static constexpr double kWhole = 100.0;
  /// Standard errors in percents.
  static constexpr double kStartRounding = 0.3;
  static constexpr double kChangeRounding = 0.5;
  static constexpr Duration kMinElapsed = 150ms;
  /// Of the start and of the report.
  static constexpr Duration kTimingError = 30ms;
  /// An end may be reported late.
  static constexpr Duration kEndError = 200ms;

  std::optional<TimePoint> from_;
  std::uint32_t from_percent_ = 0;
  std::uint32_t seen_gain_ = 0;
  bool from_start_ = false;
  bool fresh_ = true;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_PACE_PROBE_H_
