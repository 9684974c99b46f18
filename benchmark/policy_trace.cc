#include "policy_trace.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace jasminespar::benchmark {
namespace {

constexpr double kSaoMaiSeconds = 1200;
constexpr double kCrestEverySeconds = 300;
constexpr double kCrestSeconds = 45;
constexpr double kCrestRiseSeconds = 3;
constexpr double kCrestFactor = 20;
constexpr double kShortRate = 4.0;  ///< A second and cell, off the crest.
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

/// Accounts in unequal parts: a few large ones.
ClientAccountId PickAccount(Random& random) {
  const double pick = Uniform(random);
  const int index = pick < 0.4 ? 0 : pick < 0.7 ? 1 : pick < 0.9 ? 2 : 3;
  return ClientAccountId{"account-" + std::to_string(index)};
}

/// Fills in what both users' jobs share; declared times are far off.
TraceJob MakeJob(Random& random, double at, double run_seconds,
                 double typical_seconds) {
  TraceJob made;
  made.job.id = CallId{random(), random()};
  made.job.account = PickAccount(random);
  made.job.arrival = TimePoint{Seconds(at)};
  made.job.reclaimable = Uniform(random) < 0.8;
  made.run_time = std::max(Duration{1000}, Seconds(run_seconds));
  made.job.declared_run_time =
      Seconds(typical_seconds * LogNormal(random, 1.0, 1.0));
  return made;
}

bool IsCrest(double at) {
  const double phase = std::fmod(at, kCrestEverySeconds);
  return at >= kCrestEverySeconds && phase < kCrestSeconds;
}

double CrestFactor(double at) {
  if (!IsCrest(at)) return 1;
  const double phase = std::fmod(at, kCrestEverySeconds);
  return 1 + (kCrestFactor - 1) * std::min(1.0, phase / kCrestRiseSeconds);
}

void AddSaoMaiShort(Random& random, std::vector<TraceJob>& jobs) {
  const double most = kShortRate * kCrestFactor;
  for (double at = 0; at < kSaoMaiSeconds;) {
    at += std::exponential_distribution<double>(most)(random);
    if (Uniform(random) * kCrestFactor > CrestFactor(at)) continue;
    const double typical = LogNormal(random, kShortMedianSeconds, 0.5);
    const bool straggler = Uniform(random) < kStragglerShare;
    TraceJob made = MakeJob(
        random, at, typical * (straggler ? kStragglerFactor : 1), typical);
    made.job.service = ServiceId{"matching"};
    made.job.deadline = made.job.arrival + 30s;
    made.is_short = true;
    made.at_crest = IsCrest(at);
    jobs.push_back(made);
  }
}

void AddSaoMaiLong(Random& random, std::vector<TraceJob>& jobs) {
  static constexpr int kSizes[] = {4, 4, 8, 8, 16};
  for (double at = 0; at < kSaoMaiSeconds;) {
    at += std::exponential_distribution<double>(kLongRate)(random);
    const double run = LogNormal(random, kLongMedianSeconds, 0.7);
    TraceJob made = MakeJob(random, at, run, run);
    made.job.service = ServiceId{"matching"};
    made.job.gang.accelerators = kSizes[random() % 5];
    made.job.gang.adjacency =
        made.job.gang.accelerators > 8 ? Adjacency::kRack : Adjacency::kWorker;
    made.job.deadline = made.job.arrival + 24h;
    made.at_crest = IsCrest(at);
    jobs.push_back(made);
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
    TraceJob made =
        MakeJob(random, at, typical * (straggler ? 10 : 1), typical);
    made.job.service = ServiceId{"reading-lists"};
    made.job.gang.accelerators = size;
    made.job.gang.adjacency = size <= 8    ? Adjacency::kWorker
                              : size <= 24 ? Adjacency::kRack
                                           : Adjacency::kAny;
    made.job.deadline = made.job.arrival + 24h;
    made.is_short = size <= 2;
    // Large builds write checkpoints; else some could never start.
    if (size > 8) made.job.reclaimable = true;
    jobs.push_back(made);
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
