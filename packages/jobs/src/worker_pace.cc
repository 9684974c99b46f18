#include "jasminespar/jobs/worker_pace.h"

#include <algorithm>
#include <cmath>

namespace jasminespar::jobs {

namespace {

/// Standard deviations of logarithms, before anything is known.
constexpr double kEstimateDeviation = 0.9;  ///< Of a step's estimate.
constexpr double kKindDeviation = 0.3;      ///< Of kinds of workers.
constexpr double kWorkerDeviation = 0.35;   ///< Of workers of one kind.

/// Of the tasks of a step, which are uneven, and of the members of a gang.
constexpr double kTaskDeviation = 0.4;
constexpr double kMemberDeviation = 0.1;

/// A pace is known well if its logarithm has at most this standard error.
constexpr double kKnownError = 0.2;

/// Fewer known workers are not compared.
constexpr std::size_t kMinKnown = 8;

/// Workers that differ by less than this (standard deviation of the logarithm)
/// count as alike.
constexpr double kMinSpread = 0.1;

/// The mean square of deviation by standard error is below 1 if all workers are
/// alike and the noise is as assumed.
constexpr double kMaxMeanSquareOfAlike = 2.0;

/// Standard errors that it has to be above that.
constexpr double kSignificance = 3.0;

constexpr int kSweepsPerFit = 3;

constexpr double PrecisionOf(double deviation) {
  return 1.0 / (deviation * deviation);
}

}  // namespace

void WorkerPaces::Record(const WorkerName& worker, Incarnation incarnation,
                         const std::string& kind, std::uint32_t task,
                         RunNumber run, const PaceSample& sample) {
  if (sample.estimate.count() <= 0 || sample.total.count() <= 0) return;
  const std::uint32_t index = IndexOf(worker, incarnation, kind);
  const GroupName name{sample.step, sample.gang_run};
  const auto [found, added] = groups_.try_emplace(name);
  if (added) age_.push_back(name);
  Group& group = found->second;
  group.slowed = sample.slowed;
  const double deviation =
      sample.gang_run.value == 0 ? kTaskDeviation : kMemberDeviation;
  const double variance = deviation * deviation + sample.error * sample.error;
  const Sample made{index, task, run,
                    std::log(static_cast<double>(sample.total.count()) /
                             static_cast<double>(sample.estimate.count())),
                    1.0 / variance};
  auto at = std::lower_bound(
      group.samples.begin(), group.samples.end(), index,
      [](const Sample& a, std::uint32_t b) { return a.worker < b; });
  for (; at != group.samples.end() && at->worker == index; ++at) {
    if (at->task != task) continue;
    *at = made;
    return;
  }
  group.samples.insert(at, made);
  ++samples_;
  ++workers_[index].samples;
  DropOldGroups();
}

void WorkerPaces::Forget(const WorkerName& worker) {
  const auto found = index_.find(worker);
  if (found == index_.end()) return;
  workers_[found->second].current = false;
  index_.erase(found);
}

std::uint32_t WorkerPaces::IndexOf(const WorkerName& worker,
                                   Incarnation incarnation,
                                   const std::string& kind) {
  const auto found = index_.find(worker);
  if (found != index_.end()) {
    if (workers_[found->second].incarnation == incarnation) {
      return found->second;
    }
    Forget(worker);
  }
  const std::uint32_t kind_index = KindOf(kind);
  std::uint32_t index = 0;
  if (unused_.empty()) {
    index = static_cast<std::uint32_t>(workers_.size());
    workers_.emplace_back();
  } else {
    index = unused_.back();
    unused_.pop_back();
  }
  Worker& made = workers_[index];
  made = Worker{};
  made.incarnation = incarnation;
  made.kind = kind_index;
  made.current = true;
  made.effect = kinds_[kind_index].effect;
  made.variance = kWorkerDeviation * kWorkerDeviation;
  index_.emplace(worker, index);
  return index;
}

std::uint32_t WorkerPaces::KindOf(const std::string& name) {
  const auto [found, added] =
      kind_index_.try_emplace(name, static_cast<std::uint32_t>(kinds_.size()));
  if (added) kinds_.emplace_back();
  return found->second;
}

void WorkerPaces::DropOldGroups() {
  const std::size_t limit =
      kMaxSamplesPerWorker * std::max(index_.size(), kMinKnown);
  while (samples_ > limit && age_.size() > 1) {
    const auto oldest = groups_.find(age_.front());
    for (const Sample& sample : oldest->second.samples) {
      --workers_[sample.worker].samples;
    }
    samples_ -= oldest->second.samples.size();
    groups_.erase(oldest);
    age_.pop_front();
  }
}

void WorkerPaces::Refit() {
  for (int sweep = 0; sweep < kSweepsPerFit; ++sweep) {
    for (Worker& worker : workers_) worker.weight = worker.weighted = 0;
    for (auto& [name, group] : groups_) FitGroup(group);
    FitWorkers();
    FitKinds();
  }
  CompareWorkers();
  ReleaseUnused();
}

/// The group's effect is estimated from all its samples. What the group says of
/// one worker is compared with the effect without that worker's own samples;
/// the result is as uncertain as both together.
void WorkerPaces::FitGroup(Group& group) {
  constexpr double kPrior = PrecisionOf(kEstimateDeviation);
  double weight = 0;
  double weighted = 0;
  for (const Sample& sample : group.samples) {
    weight += sample.weight;
    weighted +=
        sample.weight * (sample.log_ratio - workers_[sample.worker].effect);
  }
  group.weight = weight;
  group.effect = weighted / (weight + kPrior);
  for (auto at = group.samples.begin(); at != group.samples.end();) {
    Worker& worker = workers_[at->worker];
    const std::uint32_t index = at->worker;
    double own = 0;
    double own_weighted = 0;
    for (; at != group.samples.end() && at->worker == index; ++at) {
      own += at->weight;
      own_weighted += at->weight * at->log_ratio;
    }
    const double others = weight - own + kPrior;
    const double effect_of_others =
        (weighted - (own_weighted - own * worker.effect)) / others;
    const double information = own * others / (own + others);
    worker.weight += information;
    worker.weighted += information * (own_weighted / own - effect_of_others);
  }
}

void WorkerPaces::FitWorkers() {
  constexpr double kPrior = PrecisionOf(kWorkerDeviation);
  for (Worker& worker : workers_) {
    const double kind = kinds_[worker.kind].effect;
    worker.effect =
        (worker.weighted + kPrior * kind) / (worker.weight + kPrior);
    worker.variance = 1.0 / (worker.weight + kPrior);
  }
}

void WorkerPaces::FitKinds() {
  for (Kind& kind : kinds_) kind.weight = kind.weighted = 0;
  for (const Worker& worker : workers_) {
    if (worker.weight <= 0) continue;
    const double variance =
        1.0 / worker.weight + kWorkerDeviation * kWorkerDeviation;
    Kind& kind = kinds_[worker.kind];
    kind.weight += 1.0 / variance;
    kind.weighted += worker.weighted / worker.weight / variance;
  }
  for (Kind& kind : kinds_) {
    kind.effect = kind.weighted / (kind.weight + PrecisionOf(kKindDeviation));
  }
}

void WorkerPaces::CompareWorkers() {
  std::size_t known = 0;
  double sum = 0;
  const auto is_known = [](const Worker& worker) {
    return worker.current && worker.variance <= kKnownError * kKnownError;
  };
  for (const Worker& worker : workers_) {
    if (!is_known(worker)) continue;
    ++known;
    sum += worker.effect;
  }
  known_ = known;
  spread_ = 0;
  differ_ = false;
  if (known == 0) return;
  const double count = static_cast<double>(known);
  const double mean = sum / count;
  double squares = 0;
  double scaled = 0;
  for (const Worker& worker : workers_) {
    if (!is_known(worker)) continue;
    const double deviation = worker.effect - mean;
    squares += deviation * deviation;
    scaled += deviation * deviation / worker.variance;
  }
  spread_ = std::sqrt(squares / count);
  differ_ = known >= kMinKnown && spread_ >= kMinSpread &&
            scaled / count >=
                kMaxMeanSquareOfAlike + kSignificance * std::sqrt(2.0 / count);
}

void WorkerPaces::ReleaseUnused() {
  std::vector<bool> released(workers_.size());
  for (const std::uint32_t index : unused_) released[index] = true;
  for (std::uint32_t i = 0; i < workers_.size(); ++i) {
    if (released[i] || workers_[i].current || workers_[i].samples > 0) continue;
    workers_[i].weight = workers_[i].weighted = 0;
    unused_.push_back(i);
  }
}

Factor WorkerPaces::SlownessOf(const WorkerName& worker) const {
  const auto found = index_.find(worker);
  if (found == index_.end()) {
    return {1.0, std::hypot(kKindDeviation, kWorkerDeviation)};
  }
  const Worker& known = workers_[found->second];
  return {std::exp(known.effect), std::sqrt(known.variance)};
}

Factor WorkerPaces::EstimateErrorOf(const StepName& step) const {
  // Later runs of a gang have higher numbers.
  const Group* latest = nullptr;
  for (auto at = groups_.lower_bound({step, RunNumber{}});
       at != groups_.end() && at->first.step == step; ++at) {
    if (!at->second.slowed) latest = &at->second;
  }
  const double prior = PrecisionOf(kEstimateDeviation);
  if (latest == nullptr) return {1.0, kEstimateDeviation};
  return {std::exp(latest->effect), 1.0 / std::sqrt(latest->weight + prior)};
}

Duration WorkerPaces::RunTime(const StepName& step, Duration estimate,
                              const WorkerName& worker) const {
  const double factor = EstimateErrorOf(step).value * SlownessOf(worker).value;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(estimate.count()) * factor));
}

}  // namespace jasminespar::jobs
