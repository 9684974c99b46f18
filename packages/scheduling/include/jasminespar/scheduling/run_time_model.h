/// @file
/// Learns from ended runs how long a service's gangs of one size run.

#ifndef JASMINESPAR_SCHEDULING_RUN_TIME_MODEL_H_
#define JASMINESPAR_SCHEDULING_RUN_TIME_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::scheduling {

/// Moving geometric mean, so that a few stragglers do not move it. Bounded:
/// classes beyond the limit are not learnt.
class RunTimeModel {
 public:
  void Record(const ServiceId& service, int accelerators, Duration run_time);

  /// @return the typical run time, or nothing before enough runs were seen.
  [[nodiscard]] std::optional<Duration> Typical(const ServiceId& service,
                                                int accelerators) const;

 private:
  struct Class {
    ServiceId service;
    int size_class = 0;
    auto operator<=>(const Class&) const = default;
  };
  struct Estimate {
    double log_seconds = 0;
    std::uint32_t runs = 0;
  };
  static Class ClassOf(const ServiceId& service, int accelerators);

  std::map<Class, Estimate> classes_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_RUN_TIME_MODEL_H_
