/// @file
/// Estimates run times by service and gang size from completed runs.

#ifndef JASMINESPAR_SCHEDULING_RUN_TIME_MODEL_H_
#define JASMINESPAR_SCHEDULING_RUN_TIME_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::scheduling {

/// Keeps a moving geometric mean, on which a few stragglers have little effect.
/// The number of job classes is limited; runs of further classes are ignored.
class RunTimeModel {
 public:
  void RecordRun(const ServiceId& service, int accelerators, Duration run_time);

  /// @return the typical run time, or nothing if too few runs were recorded.
  [[nodiscard]] std::optional<Duration> TypicalRunTime(const ServiceId& service,
                                                       int accelerators) const;

 private:
  struct JobClass {
    ServiceId service;
    int size_class = 0;  ///< Bit width of the number of accelerators.
    auto operator<=>(const JobClass&) const = default;
  };
  struct Estimate {
    double log_seconds = 0;
    std::uint32_t runs = 0;
  };
  static JobClass ClassOf(const ServiceId& service, int accelerators);

  std::map<JobClass, Estimate> classes_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_RUN_TIME_MODEL_H_
