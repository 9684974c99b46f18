#include "model.h"

#include <algorithm>

namespace jasminespar::jobs {
namespace {

constexpr std::size_t kZones = 3;
constexpr std::size_t kInstances = 4;
constexpr std::size_t kWorkers = 6;
constexpr Duration kAdvanceInterval = 20ms;

}  // namespace

Model::Model(const ModelSettings& settings)
    : settings_(settings), random_(settings.seed) {
  faults_end_ = now_ + settings_.fault_duration;
  SiteConfiguration site;
  QueueConfiguration queue;
  queue.name.value = "batch";
  queue.service.value = "matching";
  queue.priority = 2;
  queue.max_attempts = 3;
  site.queues.push_back(queue);
  configuration_ =
      std::make_shared<const ConfigurationSnapshot>(std::move(site));
  for (std::size_t i = 0; i < kWorkers; ++i) {
    ModelWorker worker;
    worker.entry.name.value = "w" + std::to_string(i);
    worker.entry.service.value = "matching";
    worker.entry.host = "127.0.0.1";
    worker.entry.port = 1;
    worker.entry.incarnation = Incarnation{1};
    worker.entry.capacity = {32'000, 128'000, 8};
    worker.zone = i % kZones;
    worker.rate = 0.98 + 0.04 * static_cast<double>(i) / kWorkers;
    worker.on_end = [this](const EndedRun& end, TimePoint now) {
      done_[end.task].push_back({end.run, now, false});
      Trace(end.task.job, "run " + std::to_string(end.run.value) + " of task " +
                              std::to_string(end.task.index) + " is done");
    };
    workers_.emplace(worker.entry.name, std::move(worker));
  }
  instances_.resize(kInstances);
  for (std::size_t i = 0; i < kInstances; ++i) {
    instances_[i].name.value = "instance-" + std::to_string(i);
    instances_[i].zone = i % kZones;
    StartProcess(instances_[i]);
  }
  After(3s, [this] { StartFault(); });
  After(1s, [this] { SubmitJob(); });
}

ModelResult Model::Run() {
  const TimePoint end = faults_end_ + settings_.settle_duration;
  TimePoint next_advance = now_;
  while (!events_.empty() && events_.top().at <= end) {
    const Event next = events_.top();
    events_.pop();
    for (; next_advance <= next.at; next_advance += kAdvanceInterval) {
      for (auto& [name, worker] : workers_) worker.Advance(next_advance);
    }
    now_ = next.at;
    next.action();
  }
  CheckEnds();
  result_.jobs = jobs_.size();
  result_.completed = completed_.size();
  return result_;
}

void Model::After(Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++last_event_, std::move(action)});
}

bool Model::Happens(double probability) {
  return std::uniform_real_distribution<double>()(random_) < probability;
}

Duration Model::Between(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      low.count(), high.count())(random_));
}

TimePoint Model::CutUntil(std::size_t zone) const {
  const auto found = cut_until_.find(zone);
  return found == cut_until_.end() ? TimePoint{} : found->second;
}

bool Model::IsCut(std::size_t zone) const { return now_ < CutUntil(zone); }

bool Model::CanTalk(std::size_t a, std::size_t b) const {
  return a == b || (!IsCut(a) && !IsCut(b));
}

Now Model::CurrentTime() const {
  return {now_,
          {static_cast<std::uint64_t>(ToMilliseconds(now_ - TimePoint{}))}};
}

void Model::StartFault() {
  if (now_ >= faults_end_) return;
  After(Between(500ms, 8s), [this] { StartFault(); });
  const auto owner =
      std::find_if(instances_.begin(), instances_.end(), [](const auto& each) {
        return each.running && each.dispatcher != nullptr;
      });
  const int kind = std::uniform_int_distribution<int>(0, 5)(random_);
  if (kind == 0) SlowTable();
  if (kind == 1) {
    CutZone(std::uniform_int_distribution<std::size_t>(0, kZones - 1)(random_));
  }
  if (owner == instances_.end()) return;
  if (kind == 2) Kill(*owner, Between(300ms, 4s));
  if (kind == 3) {
    // Its leases outlive the first restart of its successor.
    cut_until_[owner->zone] = std::min(now_ + Between(10s, 18s), faults_end_);
    successors_to_kill_ = 1 + (Happens(0.3) ? 1 : 0);
  }
  if (kind == 4) {
    owner->leaving = true;
    owner->ownership->StopClaiming();
    After(Between(500ms, 6s),
          [this, &instance = *owner, process = owner->process] {
            if (instance.process == process) Kill(instance, Between(300ms, 1s));
          });
    if (Happens(0.5)) SlowTable();
  }
}

void Model::SlowTable() {
  slow_until_ = std::min(now_ + Between(1s, 6s), faults_end_);
  for (Instance& instance : instances_) {
    if (Happens(0.5)) instance.reads_slow_until = slow_until_;
  }
}

void Model::CutZone(std::size_t zone) {
  cut_until_[zone] = std::min(now_ + Between(1s, 16s), faults_end_);
}

void Model::SubmitJob() {
  if (now_ >= faults_end_) return;
  After(Between(50ms, 600ms), [this] { SubmitJob(); });
  StepSpec step;
  step.count = std::uniform_int_distribution<std::uint32_t>(1, 3)(random_);
  step.need = {1000, 1000, 1};
  step.gang = Happens(0.2);
  AcceptedJob job;
  job.id.value = std::to_string(1'000'000 + jobs_.size());
  job.queue.value = "batch";
  job.account.value = "school";
  job.accepted_at = CurrentTime().wall;
  const Duration work = Happens(0.2) ? Between(8s, 25s) : Between(300ms, 4s);
  step.estimate = work;
  job.spec.steps = {step};
  work_[job.id] = work;
  jobs_.emplace_back(now_, std::move(job));
}

}  // namespace jasminespar::jobs
