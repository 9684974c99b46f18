/// @file
/// Measures the time of a scheduling decision as the cell, the queue and the
/// number of client accounts grow.
///
///     bench_decision_cost [DECISIONS] [SEED]
///
/// CSV on stdout: a `point` row holds the times at one size, a `slope` row the
/// fitted exponent of time over one dimension (0: constant, 1: linear).

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::benchmark {
namespace {

constexpr std::uint64_t kDefaultDecisions = 20'000;
constexpr std::uint32_t kMaxWaiting = 1'000'000;
constexpr std::uint32_t kWorkersPerRack = 8;
constexpr std::uint32_t kAcceleratorsPerWorker = 8;

struct Size {
  std::uint32_t accelerators = 1000;
  std::uint32_t waiting = 10'000;
  std::uint32_t accounts = 4;
};

struct Point {
  Size size;
  double mean_us = 0;
  double p50_us = 0;
  double p99_us = 0;
};

/// The scheduler of a fully allocated cell with a queue of constant length.
class SteadyCell {
 public:
  SteadyCell(const Size& size, std::uint64_t seed)
      : size_(size), random_(seed), scheduler_(Settings(), Topology(size)) {
    scheduler_.ApplyShare(Share(size), now_);
    while (waiting_ < size.waiting || running_.size() < size.accelerators / 8) {
      EnqueueJob();
      if (waiting_ % 64 == 0) Decide();
    }
    Decide();
  }

  /// Ends one gang and refills the queue, with a decision after each change.
  /// @return the time of the slowest decision, in microseconds.
  double Step() {
    now_ += 10ms;
    double slowest = 0;
    if (!running_.empty()) {
      const std::size_t at = random_() % running_.size();
      const CallId ended = running_[at];
      running_[at] = running_.back();
      running_.pop_back();
      slowest = TimeDecision([&] { scheduler_.Release(ended, now_); });
    }
    while (waiting_ < size_.waiting) slowest = std::max(slowest, EnqueueJob());
    return slowest;
  }

 private:
  static scheduling::PolicySettings Settings() {
    scheduling::PolicySettings settings;
    settings.max_waiting_jobs = kMaxWaiting;
    return settings;
  }

  static configuration::CellTopology Topology(const Size& size) {
    configuration::CellTopology topology{CellId{"dc-a/0"}, {}};
    for (std::uint32_t i = 0; i < size.accelerators / kAcceleratorsPerWorker;
         ++i) {
      configuration::Worker worker;
      worker.id = WorkerId{i + 1};
      worker.rack = i / kWorkersPerRack;
      worker.accelerators = kAcceleratorsPerWorker;
      topology.workers.push_back(worker);
    }
    return topology;
  }

  /// Guarantees half of the cell, in equal shares.
  static configuration::CellShare Share(const Size& size) {
    configuration::CellShare share;
    for (std::uint32_t i = 0; i < size.accounts; ++i) {
      configuration::ClientAccount account;
      account.id = ClientAccountId{"account-" + std::to_string(i)};
      account.max_waiting_calls = kMaxWaiting;
      const std::uint32_t workers =
          size.accelerators / kAcceleratorsPerWorker / 2 / size.accounts;
      if (workers > 0) {
        account.guarantees = {{configuration::ShapeLevel::kWorker, workers}};
      }
      share.accounts.push_back(std::move(account));
    }
    return share;
  }

  scheduling::Job RandomJob() {
    static constexpr int kSizes[] = {1, 1, 1, 1, 1, 1, 2, 2, 4, 8};
    scheduling::Job job;
    job.id = CallId{random_(), random_()};
    job.account = ClientAccountId{"account-" +
                                  std::to_string(random_() % size_.accounts)};
    job.service = ServiceId{"service-" + std::to_string(random_() % 4)};
    job.gang.accelerators = kSizes[random_() % 10];
    job.gang.adjacency = Adjacency::kWorker;
    job.reclaimable = random_() % 5 != 0;
    job.arrival = now_;
    job.deadline = now_ + 24h;
    return job;
  }

  /// @return the time of the decision, in microseconds.
  double EnqueueJob() {
    const scheduling::Job job = RandomJob();
    return TimeDecision([&] {
      if (!scheduler_.Enqueue(job, now_)) ++waiting_;
    });
  }

  void Decide() {
    static_cast<void>(TimeDecision([] {}));
  }

  /// Makes a change, runs the scheduler and applies its actions.
  /// @return the time of the change and the decision, in microseconds.
  template <typename Change>
  double TimeDecision(Change change) {
    const auto begin = std::chrono::steady_clock::now();
    change();
    const auto actions = scheduler_.Decide(now_);
    static_cast<void>(scheduler_.NextDecision(now_));
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - begin;
    for (const auto& action : actions) {
      std::visit(Overloaded{[&](const auto& each) { Apply(each); }}, action);
    }
    for (const CallId& id : std::exchange(reclaimed_, {})) {
      std::erase(running_, id);
      scheduler_.Release(id, now_);
    }
    return taken.count();
  }

  void Apply(const scheduling::StartGang& start) {
    running_.push_back(start.id);
    --waiting_;
  }
  void Apply(const scheduling::ReclaimGang& reclaim) {
    reclaimed_.push_back(reclaim.id);
  }
  void Apply(const scheduling::DropJob& /*drop*/) { --waiting_; }

  Size size_;
  std::mt19937_64 random_;
  scheduling::Scheduler scheduler_;
  TimePoint now_;
  std::uint32_t waiting_ = 0;
  std::vector<CallId> running_;
  std::vector<CallId> reclaimed_;
};

Point Measure(const Size& size, std::uint64_t decisions, std::uint64_t seed) {
  SteadyCell cell(size, seed);
  for (std::uint64_t i = 0; i < decisions / 10; ++i) cell.Step();
  std::vector<double> times;
  double sum = 0;
  for (std::uint64_t i = 0; i < decisions; ++i) {
    times.push_back(cell.Step());
    sum += times.back();
  }
  std::sort(times.begin(), times.end());
  Point point{size, sum / static_cast<double>(times.size()),
              times[times.size() / 2], times[times.size() * 99 / 100]};
  std::printf("point,%u,%u,%u,%.3f,%.3f,%.3f\n", size.accelerators,
              size.waiting, size.accounts, point.mean_us, point.p50_us,
              point.p99_us);
  std::fflush(stdout);
  return point;
}

/// @return the slope of a least-squares fit of log(time) over log(size).
double Exponent(const std::vector<double>& sizes,
                const std::vector<double>& times) {
  const auto n = static_cast<double>(sizes.size());
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const double log_size = std::log(sizes[i]);
    const double log_time = std::log(times[i]);
    x += log_size;
    y += log_time;
    xx += log_size * log_size;
    xy += log_size * log_time;
  }
  return (n * xy - x * y) / (n * xx - x * x);
}

void Sweep(const char* dimension, std::uint32_t Size::*member,
           const std::vector<std::uint32_t>& values, std::uint64_t decisions,
           std::uint64_t seed) {
  std::vector<double> sizes;
  std::vector<double> means;
  std::vector<double> tails;
  for (const std::uint32_t value : values) {
    Size size;
    size.*member = value;
    const Point point = Measure(size, decisions, seed);
    sizes.push_back(value);
    means.push_back(point.mean_us);
    tails.push_back(point.p99_us);
  }
  std::printf("slope,%s,mean_us,%.3f\nslope,%s,p99_us,%.3f\n", dimension,
              Exponent(sizes, means), dimension, Exponent(sizes, tails));
}

}  // namespace
}  // namespace jasminespar::benchmark

int main(int argc, char** argv) {
  using jasminespar::benchmark::Size;
  const auto argument = [&](int index, std::uint64_t default_value) {
    return argc > index ? std::strtoull(argv[index], nullptr, 10)
                        : default_value;
  };
  const std::uint64_t decisions =
      argument(1, jasminespar::benchmark::kDefaultDecisions);
  const std::uint64_t seed = argument(2, 1);
  std::printf("kind,accelerators,waiting,accounts,mean_us,p50_us,p99_us\n");
  jasminespar::benchmark::Sweep("accelerators", &Size::accelerators,
                                {64, 256, 512, 1000, 2000}, decisions, seed);
  jasminespar::benchmark::Sweep("waiting", &Size::waiting,
                                {10, 100, 1000, 10'000, 100'000}, decisions,
                                seed);
  jasminespar::benchmark::Sweep("accounts", &Size::accounts, {4, 8, 16, 32, 66},
                                decisions, seed);
  return 0;
}
