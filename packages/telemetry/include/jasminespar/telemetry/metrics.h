/// @file
/// Counters, gauges and duration histograms of one process, exported in the
/// Prometheus text format.

#ifndef JASMINESPAR_TELEMETRY_METRICS_H_
#define JASMINESPAR_TELEMETRY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "jasminespar/core/reason.h"
#include "jasminespar/core/time.h"
#include "jasminespar/telemetry/metric_names.h"

namespace jasminespar::telemetry {

/// The metrics of one process. Thread-safe. Every series is exported from the
/// start with the value zero.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a refusal returned to a client, an operator or a peer.
  void CountRefusal(Reason reason);

  /// Counts an attempt or request that is retried.
  /// @param reason why the previous attempt failed.
  void CountRetry(Reason reason);

  /// Adds `n` to a counter.
  void Count(Counter counter, std::uint64_t n = 1);
  void Set(Gauge gauge, double value);
  /// Adds one observation to a histogram.
  void Observe(Timing timing, Duration duration);

  /// @return the response body of GET /metrics.
  [[nodiscard]] std::string Render() const;

 private:
  class Series;
  std::unique_ptr<Series> series_;
};

}  // namespace jasminespar::telemetry

#endif  // JASMINESPAR_TELEMETRY_METRICS_H_
