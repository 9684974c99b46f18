/// @file
/// Compares scheduling policies on seeded traces in virtual time.
///
///     bench_policy [SEEDS] [FIRST_SEED] [DEADLINE_S] [LOSE] > policy.csv
///
/// DEADLINE_S is the deadline of Sao Mai's short calls, 30 by default.
/// With LOSE = 1 a reclaimed gang restarts from the beginning; by default it
/// continues from its checkpoint.
/// Prints a CSV row for each user, policy and seed to stdout, and a Markdown
/// table of means and ranges over the seeds to stderr.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "policy_driver.h"
#include "policy_trace.h"

namespace jasminespar::benchmark {
namespace {

constexpr std::uint64_t kDefaultSeeds = 10;
constexpr std::uint64_t kDeadlineSeconds = 30;

struct NamedPolicy {
  std::string_view name;
  scheduling::PolicySettings settings;
};

std::vector<NamedPolicy> Policies() {
  using namespace scheduling;  // NOLINT(google-build-using-namespace)
  PolicySettings first_fit;
  first_fit.queue = FirstComeFirstServed{};
  first_fit.placement = FirstFit{};
  first_fit.admission = AdmitUntilFull{};
  PolicySettings backfill = first_fit;
  backfill.queue = DeclaredBackfill{};
  backfill.placement = BestFit{};
  // The settings with which the first versions were measured.
  LeastAttainedService rule{.first_level_limit = 10s,
                            .ageing = 20s,
                            .learn_run_times = false,
                            .preemption_delay = Duration{},
                            .preemption_min_run_time = 10s,
                            .reclaim_delay = Duration{}};
  PolicySettings attained;
  attained.admission = AdmitUntilFull{};
  attained.queue = rule;
  PolicySettings learned = attained;
  rule.learn_run_times = true;
  learned.queue = rule;
  PolicySettings refusing = learned;
  refusing.admission = RefuseUnreachableDeadline{};
  PolicySettings delayed_reclaim = refusing;
  rule.reclaim_delay = 300ms;
  delayed_reclaim.queue = rule;
  PolicySettings preempting = delayed_reclaim;
  rule.preemption_delay = 500ms;
  preempting.queue = rule;
  return {{"fcfs_first_fit", first_fit},   {"backfill_best_fit", backfill},
          {"least_attained", attained},    {"with_learning", learned},
          {"with_refusal", refusing},      {"with_patience", delayed_reclaim},
          {"with_giving_way", preempting}, {"shipped", PolicySettings{}}};
}

/// Options of the command line.
struct Options {
  std::uint64_t seeds = kDefaultSeeds;
  std::uint64_t first_seed = 1;
  Duration short_deadline = std::chrono::seconds(kDeadlineSeconds);
  ReclaimModel reclaim;
};

struct Metric {
  std::string_view name;
  double (*value)(Results&);
};

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0
             ? 0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

constexpr Metric kMetrics[] = {
    {"completion_mean_s", [](Results& r) { return Mean(r.completion); }},
    {"completion_p50_s",
     [](Results& r) { return Quantile(r.completion, 0.5); }},
    {"completion_p99_s",
     [](Results& r) { return Quantile(r.completion, 0.99); }},
    {"large_completion_mean_s",
     [](Results& r) { return Mean(r.large_completion); }},
    {"large_completion_p99_s",
     [](Results& r) { return Quantile(r.large_completion, 0.99); }},
    {"short_wait_p50_s",
     [](Results& r) { return Quantile(r.short_wait, 0.5); }},
    {"short_wait_p99_s",
     [](Results& r) { return Quantile(r.short_wait, 0.99); }},
    {"crest_in_time_percent",
     [](Results& r) { return Share(r.peak_in_time, r.peak_jobs); }},
    {"refused_percent", [](Results& r) { return Share(r.refused, r.jobs); }},
    {"dropped_percent", [](Results& r) { return Share(r.dropped, r.jobs); }},
    {"idle_while_waiting_percent",
     [](Results& r) {
       return r.waiting_seconds > 0
                  ? 100 * r.idle_share_seconds / r.waiting_seconds
                  : 0;
     }},
    {"idle_while_waiting_cell_s",
     [](Results& r) { return r.idle_share_seconds; }},
    {"largest_free_shape",
     [](Results& r) {
       return r.waiting_seconds > 0
                  ? r.largest_shape_seconds / r.waiting_seconds
                  : 0;
     }},
    {"reclaims", [](Results& r) { return static_cast<double>(r.reclaims); }},
    {"guaranteed_calls",
     [](Results& r) { return static_cast<double>(r.guaranteed); }},
    {"missed_guarantees",
     [](Results& r) { return static_cast<double>(r.missed); }},
};

void PrintHeader() {
  std::printf("user,policy,seed,jobs");
  for (const Metric& metric : kMetrics) {
    std::printf(",%.*s", static_cast<int>(metric.name.size()),
                metric.name.data());
  }
  std::printf("\n");
}

void SetShortDeadline(Trace& trace, Duration deadline) {
  for (TraceJob& trace_job : trace.jobs) {
    if (trace_job.is_short)
      trace_job.job.deadline = trace_job.job.arrival + deadline;
  }
}

void RunPolicy(User user, const NamedPolicy& policy, const Options& options) {
  std::vector<std::vector<double>> columns(std::size(kMetrics));
  const std::string user_name(RowOf(kUserNames, user).name);
  for (std::uint64_t i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed = options.first_seed + i;
    Results results;
    for (std::uint32_t cell = 0; cell < CellsOf(user); ++cell) {
      Trace trace = MakeTrace(user, seed, cell);
      if (user == User::kSaoMai)
        SetShortDeadline(trace, options.short_deadline);
      RunTrace(trace, policy.settings, options.reclaim, results);
    }
    std::printf("%s,%s,%llu,%llu", user_name.c_str(),
                std::string(policy.name).c_str(),
                static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(results.jobs));
    for (std::size_t i = 0; i < std::size(kMetrics); ++i) {
      columns[i].push_back(kMetrics[i].value(results));
      std::printf(",%.4g", columns[i].back());
    }
    std::printf("\n");
  }
  std::fprintf(stderr, "| %s | %s |", user_name.c_str(),
               std::string(policy.name).c_str());
  for (std::vector<double>& column : columns) {
    const auto [low, high] = std::minmax_element(column.begin(), column.end());
    std::fprintf(stderr, " %.3g (%.3g-%.3g) |", Mean(column), *low, *high);
  }
  std::fprintf(stderr, "\n");
}

void Run(const Options& options) {
  PrintHeader();
  std::fprintf(stderr, "| user | policy |");
  for (const Metric& metric : kMetrics) {
    std::fprintf(stderr, " %s |", std::string(metric.name).c_str());
  }
  std::fprintf(stderr, "\n");
  for (const auto& user : kUserNames) {
    for (const NamedPolicy& policy : Policies()) {
      RunPolicy(user.value, policy, options);
    }
  }
}

}  // namespace
}  // namespace jasminespar::benchmark

int main(int argc, char** argv) {
  const auto argument = [&](int index, std::uint64_t default_value) {
    return argc > index ? std::strtoull(argv[index], nullptr, 10)
                        : default_value;
  };
  jasminespar::benchmark::Options options;
  options.seeds = argument(1, options.seeds);
  options.first_seed = argument(2, options.first_seed);
  options.short_deadline = std::chrono::seconds(
      argument(3, jasminespar::benchmark::kDeadlineSeconds));
  options.reclaim.keeps_progress = argument(4, 0) == 0;
  jasminespar::benchmark::Run(options);
  return 0;
}
