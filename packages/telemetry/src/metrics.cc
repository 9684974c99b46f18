#include "jasminespar/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <chrono>

namespace jasminespar::telemetry {

namespace {

template <typename Metric, std::size_t kSize>
using MetricArray = std::array<Metric*, kSize>;

/// Upper bounds in seconds. The range covers scheduling decisions of a few
/// microseconds and jobs of an hour or more.
const prometheus::Histogram::BucketBoundaries kBuckets{
    1e-5, 1e-4, 1e-3, 0.003, 0.01, 0.03, 0.1, 0.3,
    1.0,  3.0,  10.0, 30.0,  100,  600,  3600};

std::string MetricName(std::string_view name, std::string_view suffix) {
  return "jasminespar_" + std::string(name) + std::string(suffix);
}

MetricArray<prometheus::Counter, kReasons.size()> MakeReasonCounters(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  auto& family =
      prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  MetricArray<prometheus::Counter, kReasons.size()> counters{};
  for (const ReasonRow& row : kReasons) {
    counters[static_cast<std::size_t>(row.value)] =
        &family.Add({{"reason", std::string(row.name)}});
  }
  return counters;
}

MetricArray<prometheus::Counter, kCounterNames.size()> MakeCounters(
    prometheus::Registry& registry) {
  MetricArray<prometheus::Counter, kCounterNames.size()> counters{};
  for (const auto& row : kCounterNames) {
    counters[static_cast<std::size_t>(row.value)] =
        &prometheus::BuildCounter()
             .Name(MetricName(row.name, "_total"))
             .Help(std::string(row.help))
             .Register(registry)
             .Add({});
  }
  return counters;
}

MetricArray<prometheus::Gauge, kGaugeNames.size()> MakeGauges(
    prometheus::Registry& registry) {
  MetricArray<prometheus::Gauge, kGaugeNames.size()> gauges{};
  for (const auto& row : kGaugeNames) {
    gauges[static_cast<std::size_t>(row.value)] =
        &prometheus::BuildGauge()
             .Name(MetricName(row.name, ""))
             .Help(std::string(row.help))
             .Register(registry)
             .Add({});
  }
  return gauges;
}

MetricArray<prometheus::Histogram, kTimingNames.size()> MakeTimings(
    prometheus::Registry& registry) {
  MetricArray<prometheus::Histogram, kTimingNames.size()> timings{};
  for (const auto& row : kTimingNames) {
    timings[static_cast<std::size_t>(row.value)] =
        &prometheus::BuildHistogram()
             .Name(MetricName(row.name, "_seconds"))
             .Help(std::string(row.help))
             .Register(registry)
             .Add({}, kBuckets);
  }
  return timings;
}

}  // namespace

/// The registry and its metrics. The registry owns the metrics; the arrays hold
/// pointers to them, indexed by enumerator.
class Metrics::Series {
 public:
  prometheus::Registry registry;
  MetricArray<prometheus::Counter, kReasons.size()> refusals =
      MakeReasonCounters(registry, "jasminespar_refusals_total",
                         "Refusals given, by reason.");
  MetricArray<prometheus::Counter, kReasons.size()> retries =
      MakeReasonCounters(registry, "jasminespar_retries_total",
                         "Attempts and requests made again, by reason.");
  MetricArray<prometheus::Counter, kCounterNames.size()> counters =
      MakeCounters(registry);
  MetricArray<prometheus::Gauge, kGaugeNames.size()> gauges =
      MakeGauges(registry);
  MetricArray<prometheus::Histogram, kTimingNames.size()> timings =
      MakeTimings(registry);
};

Metrics::Metrics() : series_(std::make_unique<Series>()) {}
Metrics::~Metrics() = default;

void Metrics::CountRefusal(Reason reason) {
  series_->refusals[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::CountRetry(Reason reason) {
  series_->retries[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::Count(Counter counter, std::uint64_t n) {
  series_->counters[static_cast<std::size_t>(counter)]->Increment(
      static_cast<double>(n));
}

void Metrics::Set(Gauge gauge, double value) {
  series_->gauges[static_cast<std::size_t>(gauge)]->Set(value);
}

void Metrics::Observe(Timing timing, Duration duration) {
  series_->timings[static_cast<std::size_t>(timing)]->Observe(
      std::chrono::duration<double>(duration).count());
}

std::string Metrics::Render() const {
  return prometheus::TextSerializer().Serialize(series_->registry.Collect());
}

}  // namespace jasminespar::telemetry
