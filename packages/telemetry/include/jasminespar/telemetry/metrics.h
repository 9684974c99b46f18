/// @file
/// Counters, gauges and timings of one process, in Prometheus' text form.

#ifndef JASMINESPAR_TELEMETRY_METRICS_H_
#define JASMINESPAR_TELEMETRY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "jasminespar/core/reason.h"
#include "jasminespar/core/time.h"
#include "jasminespar/telemetry/metric_names.h"

namespace jasminespar::telemetry {

/// Thread-safe; every series exists from the start, at zero.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a refusal that a caller, operator or peer was given.
  void CountRefusal(Reason reason);

  /// Counts an attempt or request that is made again for that reason.
  void CountRetry(Reason reason);

  void Count(Counter counter, std::uint64_t n = 1);
  void Set(Gauge gauge, double value);
  void Observe(Timing timing, Duration span);

  /// @return the body of GET /metrics.
  [[nodiscard]] std::string Render() const;

 private:
  class Series;
  std::unique_ptr<Series> series_;
};

}  // namespace jasminespar::telemetry

#endif  // JASMINESPAR_TELEMETRY_METRICS_H_
