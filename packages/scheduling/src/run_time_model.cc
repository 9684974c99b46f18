#include "jasminespar/scheduling/run_time_model.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace jasminespar::scheduling {
namespace {

constexpr std::size_t kMaxClasses = 4096;
constexpr std::uint32_t kMinRuns = 3;
constexpr double kMinGain = 0.1;  ///< Least weight of the newest run.
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

RunTimeModel::JobClass RunTimeModel::ClassOf(const ServiceId& service,
                                             int accelerators) {
  return {service, static_cast<int>(
                       std::bit_width(static_cast<unsigned>(accelerators)))};
}

void RunTimeModel::RecordRun(const ServiceId& service, int accelerators,
                             Duration run_time) {
  const JobClass key = ClassOf(service, accelerators);
  const auto found = classes_.find(key);
  if (found == classes_.end() && classes_.size() >= kMaxClasses) return;
  Estimate& estimate = found == classes_.end() ? classes_[key] : found->second;
  const double seconds = std::max(1.0, static_cast<double>(run_time.count())) /
                         kMicrosecondsPerSecond;
  ++estimate.runs;
  const double gain = std::max(kMinGain, 1.0 / estimate.runs);
  estimate.log_seconds += gain * (std::log(seconds) - estimate.log_seconds);
}

std::optional<Duration> RunTimeModel::TypicalRunTime(const ServiceId& service,
                                                     int accelerators) const {
  const auto found = classes_.find(ClassOf(service, accelerators));
  if (found == classes_.end() || found->second.runs < kMinRuns) {
    return std::nullopt;
  }
  return Duration{static_cast<Duration::rep>(
      std::exp(found->second.log_seconds) * kMicrosecondsPerSecond)};
}

}  // namespace jasminespar::scheduling
