#include "policy_trace.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace jasminespar::benchmark {
namespace {

constexpr double kSaoMaiSeconds = 1200;
constexpr double kPeakIntervalSeconds = 300;
constexpr double kPeakDurationSeconds = 45;
constexpr double kPeakRampSeconds = 3;
constexpr double kPeakRateFactor = 20;
constexpr double kShortRate = 4.0;  ///< Per second and cell, outside peaks.
constexpr double kShortMedianSeconds = 0.8;
constexpr double kStragglerShare = 0.01;
constexpr double kStragglerFactor = 50;
constexpr double kLongRate = 0.04;
constexpr double kLongMedianSeconds = 120;
constexpr double kLoneStarSeconds = 7200;
constexpr double kLoneStarRate = 0.055;

using Random = std::mt19937_64;

Duration Seconds(double seconds) {
  return Duration{static_cast<Duration::rep>(seconds * 1e6)};
}

double Uniform(Random& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

double LogNormal(Random& random, double median, double sigma) {
  return median * std::exp(std::normal_distribution<double>(0, sigma)(random));
}

configuration::CellTopology MakeTopology(std::uint32_t workers,
                                         std::uint32_t workers_per_rack) {
  configuration::CellTopology topology{CellId{"dc-a/0"}, {}};
  for (std::uint32_t i = 0; i < workers; ++i) {
    configuration::Worker worker;
    worker.id = WorkerId{i + 1};
    worker.rack = i / workers_per_rack;
    worker.accelerators = 8;
    topology.workers.push_back(worker);
  }
  return topology;
}

configuration::ClientAccount MakeAccount(std::size_t index,
                                         std::uint32_t workers) {
  configuration::ClientAccount account;
  account.id = ClientAccountId{"account-" + std::to_string(index)};
  account.max_waiting_calls = 100'000;
  if (workers > 0) {
    account.guarantees = {{configuration::ShapeLevel::kWorker, workers}};
  }
  return account;
}

/// Picks one of four accounts, with 40, 30, 20 and 10 percent of the jobs.
ClientAccountId PickAccount(Random& random) {
  const double pick = Uniform(random);
  const int index = pick < 0.4 ? 0 : pick < 0.7 ? 1 : pick < 0.9 ? 2 : 3;
  return ClientAccountId{"account-" + std::to_string(index)};
}

/// Sets the fields that both users' jobs have in common. Declared run times are
/// inaccurate.
/// @param at arrival, in seconds.
TraceJob MakeJob(Random& random, double at, double run_seconds,
                 double typical_seconds) {
  TraceJob trace_job;
  trace_job.job.id = CallId{random(), random()};
  trace_job.job.account = PickAccount(random);
  trace_job.job.arrival = TimePoint{Seconds(at)};
  trace_job.job.reclaimable = Uniform(random) < 0.8;
  trace_job.run_time = std::max(Duration{1000}, Seconds(run_seconds));
  trace_job.job.declared_run_time =
      Seconds(typical_seconds * LogNormal(random, 1.0, 1.0));
  return trace_job;
}

bool IsPeak(double at) {
  const double phase = std::fmod(at, kPeakIntervalSeconds);
  return at >= kPeakIntervalSeconds && phase < kPeakDurationSeconds;
}

/// @return the arrival rate relative to that outside peaks.
double RateFactor(double at) {
  if (!IsPeak(at)) return 1;
  const double phase = std::fmod(at, kPeakIntervalSeconds);
  return 1 + (kPeakRateFactor - 1) * std::min(1.0, phase / kPeakRampSeconds);
}

void AddSaoMaiShort(Random& random, std::vector<TraceJob>& jobs) {
  const double peak_rate = kShortRate * kPeakRateFactor;
  for (double at = 0; at < kSaoMaiSeconds;) {
    at += std::exponential_distribution<double>(peak_rate)(random);
    if (Uniform(random) * kPeakRateFactor > RateFactor(at)) continue;
    const double typical = LogNormal(random, kShortMedianSeconds, 0.5);
    const bool straggler = Uniform(random) < kStragglerShare;
    TraceJob trace_job = MakeJob(
        random, at, typical * (straggler ? kStragglerFactor : 1), typical);
    trace_job.job.service = ServiceId{"matching"};
    trace_job.job.deadline = trace_job.job.arrival + 30s;
    trace_job.is_short = true;
    trace_job.at_peak = IsPeak(at);
    jobs.push_back(trace_job);
  }
}

void AddSaoMaiLong(Random& random, std::vector<TraceJob>& jobs) {
  static constexpr int kSizes[] = {4, 4, 8, 8, 16};
  for (double at = 0; at < kSaoMaiSeconds;) {
    at += std::exponential_distribution<double>(kLongRate)(random);
    const double run = LogNormal(random, kLongMedianSeconds, 0.7);
    TraceJob trace_job = MakeJob(random, at, run, run);
    trace_job.job.service = ServiceId{"matching"};
    trace_job.job.gang.accelerators = kSizes[random() % 5];
    trace_job.job.gang.adjacency = trace_job.job.gang.accelerators > 8
                                       ? Adjacency::kRack
                                       : Adjacency::kWorker;
    trace_job.job.deadline = trace_job.job.arrival + 24h;
    trace_job.at_peak = IsPeak(at);
    jobs.push_back(trace_job);
  }
}

void AddLoneStar(Random& random, std::vector<TraceJob>& jobs) {
  static constexpr int kSizes[] = {1, 1, 1, 1, 1, 1, 1, 1,  2,  2,
                                   2, 4, 4, 4, 8, 8, 8, 16, 24, 32};
  for (double at = 0; at < kLoneStarSeconds;) {
    at += std::exponential_distribution<double>(kLoneStarRate)(random);
    int size = kSizes[random() % 20];
    if (size == 32 && random() % 3 == 0) size = 64;
    const double median = size <= 2 ? 40 : 180;
    const double typical = LogNormal(random, median, 0.8);
    const bool straggler = Uniform(random) < kStragglerShare;
    TraceJob trace_job =
        MakeJob(random, at, typical * (straggler ? 10 : 1), typical);
    trace_job.job.service = ServiceId{"reading-lists"};
    trace_job.job.gang.accelerators = size;
    trace_job.job.gang.adjacency = size <= 8    ? Adjacency::kWorker
                                   : size <= 24 ? Adjacency::kRack
                                                : Adjacency::kAny;
    trace_job.job.deadline = trace_job.job.arrival + 24h;
    trace_job.is_short = size <= 2;
    // Large builds write checkpoints; if they were not reclaimable, some could
    // never start.
    if (size > 8) trace_job.job.reclaimable = true;
    jobs.push_back(trace_job);
  }
}

}  // namespace

std::uint32_t CellsOf(User user) { return user == User::kSaoMai ? 3 : 4; }

Trace MakeTrace(User user, std::uint64_t seed, std::uint32_t cell) {
  Random random(seed * 1000 + cell * 10 + static_cast<std::uint64_t>(user));
  Trace trace;
  if (user == User::kSaoMai) {
    trace.topology = MakeTopology(cell == 2 ? 16 : 17, 8);
    AddSaoMaiShort(random, trace.jobs);
    AddSaoMaiLong(random, trace.jobs);
  } else {
    trace.topology = MakeTopology(cell < 2 ? 13 : 12, 6);
    AddLoneStar(random, trace.jobs);
  }
  static constexpr std::uint32_t kGuaranteedWorkers[] = {3, 2, 1, 1};
  for (std::size_t i = 0; i < 4; ++i) {
    trace.share.accounts.push_back(MakeAccount(i, kGuaranteedWorkers[i]));
  }
  std::sort(trace.jobs.begin(), trace.jobs.end(),
            [](const TraceJob& a, const TraceJob& b) {
              return a.job.arrival < b.job.arrival;
            });
  return trace;
}

}  // namespace jasminespar::benchmark
