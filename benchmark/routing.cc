/// @file
/// Measures the waits of calls under policies that choose between two cells,
/// for load summaries of increasing age. Virtual time, fixed seeds; CSV on
/// stdout.

#include "jasminespar/membership/routing.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <queue>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::membership {
namespace {

constexpr std::size_t kCells = 6;
constexpr std::uint32_t kAccelerators = 64;
constexpr double kMeanServiceSeconds = 1.0;
constexpr double kSimulatedSeconds = 600;
constexpr double kPhaseSeconds = 10;  ///< Base and peak load alternate.
constexpr double kBaseLoad = 0.6;
constexpr double kPeakLoad = 1.15;

struct HomeOnly {};
struct RandomOfTwo {};
struct LeastReportedWait {};
struct AgeDiscounted {};
struct Oracle {};
using Policy = std::variant<HomeOnly, RandomOfTwo, LeastReportedWait,
                            AgeDiscounted, Oracle>;

struct NamedPolicy {
  std::string_view name;
  Policy policy;
};

/// A first-come-first-served queue with kAccelerators servers.
class SimulatedCell {
 public:
  SimulatedCell() {
    for (std::uint32_t i = 0; i < kAccelerators; ++i) free_at_.push(0);
  }

  /// @return the wait of a call that arrives at `now`, in seconds.
  double Arrive(double now, double service) {
    const double start = std::max(now, free_at_.top());
    free_at_.pop();
    free_at_.push(start + service);
    ends_.push(start + service);
    starts_.push(start);
    return start - now;
  }

  [[nodiscard]] double ActualWait(double now) const {
    return std::max(0.0, free_at_.top() - now);
  }

  scheduling::LoadSummary Summary(double now) {
    while (!ends_.empty() && ends_.top() <= now) ends_.pop();
    while (!starts_.empty() && starts_.top() <= now) starts_.pop();
    scheduling::LoadSummary load;
    load.total_accelerators = kAccelerators;
    load.waiting_jobs = static_cast<std::uint32_t>(starts_.size());
    load.running_jobs =
        static_cast<std::uint32_t>(ends_.size()) - load.waiting_jobs;
    load.free_accelerators = kAccelerators - load.running_jobs;
    load.largest_free_shape = load.free_accelerators;
    if (load.free_accelerators == 0) {
      const double wait =
          (load.waiting_jobs + 1) * kMeanServiceSeconds / kAccelerators;
      load.expected_wait = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(wait));
    }
    return load;
  }

 private:
  template <typename Value>
  using MinHeap =
      std::priority_queue<Value, std::vector<Value>, std::greater<>>;
  MinHeap<double> free_at_;
  MinHeap<double> ends_;
  MinHeap<double> starts_;
};

struct Result {
  double mean = 0;
  double p99 = 0;
  double spilled = 0;  ///< Share of calls that ran outside their home cell.
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, Policy policy, double refresh)
      : generator_(seed), policy_(policy), refresh_(refresh) {}

  Result Run() {
    std::vector<double> waits;
    std::size_t spilled = 0;
    double now = 0;
    while (now < kSimulatedSeconds) {
      now += InterarrivalTime(now);
      Refresh(now);
      const std::size_t home = Uniform(kCells);
      const std::size_t other = (home + 1 + Uniform(kCells - 1)) % kCells;
      const double service = ServiceTime();
      const double draw = unit_(generator_);
      const bool spills = Choose(home, other, now, draw) == CellChoice::kOther;
      spilled += spills ? 1 : 0;
      waits.push_back(cells_[spills ? other : home].Arrive(now, service));
    }
    return Summarise(waits, spilled);
  }

 private:
  double InterarrivalTime(double now) {
    const bool peak = static_cast<std::int64_t>(now / kPhaseSeconds) % 2 == 1;
    const double load = peak ? kPeakLoad : kBaseLoad;
    const double rate = load * kCells * kAccelerators / kMeanServiceSeconds;
    return std::exponential_distribution<double>(rate)(generator_);
  }

  /// @return a service time whose mean is ten times as long for one call in
  ///     twenty.
  double ServiceTime() {
    constexpr double kShort = kMeanServiceSeconds / (0.95 + 0.05 * 10);
    const double mean = unit_(generator_) < 0.05 ? 10 * kShort : kShort;
    return std::exponential_distribution<double>(1 / mean)(generator_);
  }

  std::size_t Uniform(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(generator_);
  }

  /// Updates each cell's load summary every `refresh_` seconds. The updates of
  /// the cells are staggered.
  void Refresh(double now) {
    for (std::size_t i = 0; i < kCells; ++i) {
      const double offset = refresh_ * static_cast<double>(i) / kCells;
      if (now < reported_at_[i] + refresh_ && reported_at_[i] > 0) continue;
      if (now < offset) continue;
      reported_[i] = cells_[i].Summary(now);
      reported_at_[i] = now;
    }
  }

  [[nodiscard]] CellLoad ReportedLoad(std::size_t cell, double now) const {
    return CellLoad{
        reported_[cell],
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(now - reported_at_[cell]))};
  }

  CellChoice Choose(std::size_t home, std::size_t other, double now,
                    double draw) const {
    return std::visit(
        Overloaded{
            [](const HomeOnly&) { return CellChoice::kHome; },
            [&](const RandomOfTwo&) {
              return draw < 0.5 ? CellChoice::kHome : CellChoice::kOther;
            },
            [&](const LeastReportedWait&) {
              const auto& a = reported_[home];
              const auto& b = reported_[other];
              const bool stays =
                  a.expected_wait != b.expected_wait
                      ? a.expected_wait < b.expected_wait
                      : a.free_accelerators >= b.free_accelerators;
              return stays ? CellChoice::kHome : CellChoice::kOther;
            },
            [&](const AgeDiscounted&) {
              return ChooseCell(ReportedLoad(home, now),
                                ReportedLoad(other, now), 1, draw);
            },
            [&](const Oracle&) {
              return cells_[home].ActualWait(now) <=
                             cells_[other].ActualWait(now)
                         ? CellChoice::kHome
                         : CellChoice::kOther;
            },
        },
        policy_);
  }

  static Result Summarise(std::vector<double>& waits, std::size_t spilled) {
    std::sort(waits.begin(), waits.end());
    double sum = 0;
    for (const double wait : waits) sum += wait;
    const auto count = static_cast<double>(waits.size());
    return Result{sum / count, waits[waits.size() * 99 / 100],
                  static_cast<double>(spilled) / count};
  }

  std::mt19937_64 generator_;
  std::uniform_real_distribution<double> unit_;
  Policy policy_;
  double refresh_;
  std::vector<SimulatedCell> cells_{kCells};
  std::vector<scheduling::LoadSummary> reported_{kCells};
  std::vector<double> reported_at_ = std::vector<double>(kCells, 0);
};

void PrintTable() {
  const std::vector<NamedPolicy> policies{{"home_only", HomeOnly{}},
                                          {"random_of_two", RandomOfTwo{}},
                                          {"least_stale", LeastReportedWait{}},
                                          {"age_discounted", AgeDiscounted{}},
                                          {"oracle", Oracle{}}};
  constexpr std::uint64_t kFirstSeed = 101;
  constexpr std::uint64_t kSeeds = 5;
  std::printf("refresh_s,policy,mean_wait_ms,p99_wait_ms,spilled\n");
  for (const double refresh : {0.1, 0.5, 1.0, 2.0, 5.0, 8.0}) {
    for (const NamedPolicy& named : policies) {
      Result total;
      for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds;
           ++seed) {
        const Result result = Simulation(seed, named.policy, refresh).Run();
        total.mean += result.mean / kSeeds;
        total.p99 += result.p99 / kSeeds;
        total.spilled += result.spilled / kSeeds;
      }
      std::printf("%.1f,%.*s,%.1f,%.1f,%.3f\n", refresh,
                  static_cast<int>(named.name.size()), named.name.data(),
                  total.mean * 1000, total.p99 * 1000, total.spilled);
    }
  }
}

}  // namespace
}  // namespace jasminespar::membership

int main() {
  jasminespar::membership::PrintTable();
  return 0;
}
