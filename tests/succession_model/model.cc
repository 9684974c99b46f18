// Time, chance and the network of the model.
#include "model.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {
namespace {

constexpr std::size_t kZones = 3;
constexpr std::size_t kInstances = 4;
constexpr std::size_t kWorkers = 6;
constexpr Duration kAdvanceInterval = 20ms;

QueueConfiguration Queue(const std::string& name, std::uint32_t priority) {
  QueueConfiguration queue;
  queue.name.value = name;
  queue.service.value = "matching";
  queue.priority = priority;
  queue.max_attempts = 3;
  return queue;
}

}  // namespace

Model::Model(const ModelSettings& settings)
    : settings_(settings), random_(settings.seed) {
  faults_end_ = now_ + settings_.fault_duration;
  SiteConfiguration site;
  site.queues = {Queue("urgent", 0), Queue("batch", 2)};
  site.accounts.push_back({{"school"}, {"key"}, 16});
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
    worker.rate = 0.98 + 0.04 * static_cast<double>(i) / (kWorkers - 1);
    worker.entry_at = now_;
    const WorkerName name = worker.entry.name;
    worker.on_end = [this, name](const EndedRun& end, TimePoint now) {
      HandleEnd(workers_.at(name), end, now);
    };
    workers_.emplace(name, std::move(worker));
  }
  instances_.resize(kInstances);
  for (std::size_t i = 0; i < kInstances; ++i) {
    instances_[i].name.value = "instance-" + std::to_string(i);
    instances_[i].zone = i % kZones;
    instances_[i].rate = 0.9995 + 0.0003 * static_cast<double>(i);
    instances_[i].wall_offset = Between(-1s, 1s);
    StartProcess(instances_[i]);
  }
  KeepList();
  if (settings_.mix == FaultMix::kRandom) {
    After(3s, [this] { StartFault(); });
  } else {
    After(8s, [this] { PlayHandOver(); });
  }
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

void Model::Later(Instance& instance, Duration delay,
                  std::function<void()> action) {
  After(delay, [this, &instance, process = instance.process,
                action = std::move(action)] {
    if (!instance.running || instance.process != process) return;
    if (now_ < instance.stands_until) {
      Later(instance, instance.stands_until - now_, action);
      return;
    }
    action();
  });
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

Now Model::TimeOf(const Instance& instance) const {
  const double passed =
      static_cast<double>((now_ - TimePoint(1h)).count()) * instance.rate;
  const auto wall = now_ + instance.wall_offset - TimePoint{};
  return {TimePoint(1h) + Duration(static_cast<Duration::rep>(passed)),
          {static_cast<std::uint64_t>(ToMilliseconds(wall))}};
}

std::optional<Disturbance> Model::NextMessage() {
  if (!counts_messages_) return std::nullopt;
  const std::size_t number = result_.messages++;
  for (const DisturbedMessage& each : settings_.disturbed) {
    if (each.message == number) return each.how;
  }
  return std::nullopt;
}

}  // namespace jasminespar::jobs
