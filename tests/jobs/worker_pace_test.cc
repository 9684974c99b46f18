// Learning how fast workers are: what steps' estimates are off by and what
// their workers are slow by come out apart, as far as the samples tell them.
#include "jasminespar/jobs/worker_pace.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>

namespace jasminespar::jobs {
namespace {

constexpr double kFast = 1.0 / 1.2;
constexpr double kSlow = 1.0 / 0.55;
constexpr int kWorkers = 40;
constexpr int kMembers = 8;

WorkerName NameOf(int i) { return WorkerName{"w" + std::to_string(i)}; }

bool IsSlow(int i) { return i % 4 == 0; }

/// Workers of two paces that run steps whose estimates are far off.
class Load {
 public:
  explicit Load(std::uint64_t seed, bool mixed = true)
      : mixed_(mixed), random_(seed) {}

  /// Runs one task on each of some workers. The members of a gang do the same
  /// work; other tasks are uneven.
  /// @return the factor that the step's estimate is off by.
  double RunStep(bool gang, bool slowed = false) {
    constexpr double kEstimateDeviation = 0.9;
    constexpr double kTaskDeviation = 0.3;
    constexpr double kRemoteSlowdown = 3.0;
    const double off = std::exp(kEstimateDeviation * Normal());
    const RunNumber run{++runs_};
    for (int i = 0; i < kMembers; ++i) {
      const int worker = static_cast<int>(random_() % kWorkers);
      double time = off * SlownessOf(worker) * (slowed ? kRemoteSlowdown : 1.0);
      if (!gang) time *= std::exp(kTaskDeviation * Normal());
      PaceSample sample = SampleOf(time);
      sample.gang_run = gang ? run : RunNumber{};
      sample.slowed = slowed;
      paces.Record(NameOf(worker), {1}, "kind", static_cast<std::uint32_t>(i),
                   run, sample);
    }
    return off;
  }

  [[nodiscard]] double SlownessOf(int worker) const {
    if (!mixed_) return 1.0;
    return IsSlow(worker) ? kSlow : kFast;
  }

  [[nodiscard]] PaceSample SampleOf(double seconds) const {
    constexpr Duration kEstimate = 1s;
    PaceSample sample;
    sample.step = {{"job" + std::to_string(runs_)}, 0};
    sample.estimate = kEstimate;
    sample.total = Duration(static_cast<Duration::rep>(
        seconds * static_cast<double>(kEstimate.count())));
    return sample;
  }

  WorkerPaces paces;

 private:
  double Normal() { return std::normal_distribution<double>()(random_); }

  bool mixed_;
  std::mt19937_64 random_;
  std::uint64_t runs_ = 0;
};

/// @return how often the order of a slow and a fast worker is known wrongly.
int CountMistaken(const WorkerPaces& paces) {
  int mistaken = 0;
  for (int slow = 0; slow < kWorkers; slow += 4) {
    for (int fast = 0; fast < kWorkers; ++fast) {
      if (IsSlow(fast)) continue;
      if (paces.SlownessOf(NameOf(slow)).value <=
          1.3 * paces.SlownessOf(NameOf(fast)).value) {
        ++mistaken;
      }
    }
  }
  return mistaken;
}

TEST_CASE("gangs whose estimates are far off show which workers are slow") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Load load(seed);
    for (int i = 0; i < 60; ++i) load.RunStep(true, i % 5 == 0);
    load.paces.Refit();
    CHECK(CountMistaken(load.paces) == 0);
    CHECK(load.paces.WorkersDiffer());
    CHECK(load.paces.known() == kWorkers);
  }
}

TEST_CASE("uneven tasks show it after more runs") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Load load(seed);
    for (int i = 0; i < 70; ++i) load.RunStep(false);
    load.paces.Refit();
    CHECK(CountMistaken(load.paces) < 15);  // Of 300 pairs.
    CHECK(load.paces.WorkersDiffer());
  }
}

TEST_CASE("the error of an estimate is told apart from the workers' pace") {
  Load load(7);
  for (int i = 0; i < 60; ++i) load.RunStep(true);
  const double off = load.RunStep(true);
  load.paces.Refit();
  const StepName step = load.SampleOf(1).step;
  const Factor error = load.paces.EstimateErrorOf(step);
  // Times are those of a usual worker, which lies between fast and slow.
  CHECK(error.value > off * kFast * 0.9);
  CHECK(error.value < off * kSlow * 1.1);
  for (const int worker : {0, 1}) {
    const double expected = off * load.SlownessOf(worker);
    const Duration time = load.paces.RunTime(step, 1s, NameOf(worker));
    CHECK(static_cast<double>(time.count()) / 1e6 ==
          Approx(expected).epsilon(0.15));
  }
}

TEST_CASE("a gang that its racks slow says nothing about the estimate") {
  Load load(7);
  load.RunStep(true, true);
  load.paces.Refit();
  const Factor error = load.paces.EstimateErrorOf(load.SampleOf(1).step);
  CHECK(error.value == 1.0);
  CHECK(error.error > 0.5);
}

TEST_CASE("uncertainty shrinks with the number of runs") {
  Load load(3);
  double before = load.paces.SlownessOf(NameOf(0)).error;
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 20; ++i) load.RunStep(false);
    load.paces.Refit();
    const double error = load.paces.SlownessOf(NameOf(0)).error;
    CHECK(error < before);
    before = error;
  }
}

TEST_CASE("workers that are alike are not told apart") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Load load(seed, false);
    for (int i = 0; i < 70; ++i) load.RunStep(i % 2 == 0);
    load.paces.Refit();
    CHECK_FALSE(load.paces.WorkersDiffer());
  }
}

TEST_CASE("one worker alone says nothing about its pace") {
  Load load(1);
  for (std::uint32_t task = 0; task < 50; ++task) {
    load.paces.Record(NameOf(0), {1}, "kind", task, {1}, load.SampleOf(5));
  }
  load.paces.Refit();
  const Factor slowness = load.paces.SlownessOf(NameOf(0));
  CHECK(slowness.error > 0.25);
  CHECK_FALSE(load.paces.WorkersDiffer());
}

TEST_CASE("a restarted worker is a new one") {
  Load load(5);
  for (int i = 0; i < 60; ++i) load.RunStep(true);
  load.paces.Refit();
  const double error = load.paces.SlownessOf(NameOf(0)).error;
  SECTION("when its report shows the new incarnation") {
    load.paces.Forget(NameOf(0));
  }
  SECTION("when a sample is of the new incarnation") {
    load.paces.Record(NameOf(0), {2}, "kind", 0, {9999}, load.SampleOf(1));
  }
  load.paces.Refit();
  CHECK(load.paces.SlownessOf(NameOf(0)).error > 2 * error);
  CHECK(load.paces.SlownessOf(NameOf(0)).value < kSlow * 0.9);
}

TEST_CASE("a worker takes after its kind until it is known") {
  WorkerPaces paces;
  std::uint64_t run = 0;
  for (int i = 0; i < 40; ++i) {
    ++run;
    for (int worker = 0; worker < 20; ++worker) {
      Load load(run);
      PaceSample sample = load.SampleOf(worker < 10 ? kFast : kSlow);
      sample.step.job.value = "job" + std::to_string(run);
      sample.gang_run = {run};
      paces.Record(NameOf(worker), {1}, worker < 10 ? "new" : "old",
                   static_cast<std::uint32_t>(worker), {run}, sample);
    }
  }
  paces.Refit();
  Load load(99);
  PaceSample sample = load.SampleOf(1);
  sample.gang_run = {++run};
  paces.Record(NameOf(100), {1}, "old", 0, {run}, sample);
  paces.Refit();
  CHECK(paces.SlownessOf(NameOf(100)).value > 1.2);
  CHECK(paces.SlownessOf(NameOf(100)).error > 0.2);
}

TEST_CASE("a later sample of a run replaces the earlier one") {
  Load load(1);
  for (int i = 0; i < 3; ++i) {
    load.paces.Record(NameOf(1), {1}, "kind", 0, {1}, load.SampleOf(1 + i));
  }
  CHECK(load.paces.samples() == 1);
}

TEST_CASE("what is kept is bounded by the number of workers") {
  Load load(1);
  for (int i = 0; i < 1000; ++i) load.RunStep(i % 2 == 0);
  CHECK(load.paces.samples() <= WorkerPaces::kMaxSamplesPerWorker * kWorkers);
  load.paces.Refit();
  CHECK(CountMistaken(load.paces) < 15);
}

}  // namespace
}  // namespace jasminespar::jobs
