#include "model.h"

#include "jasminespar/core/overloaded.h"

namespace jasminespar::membership {
namespace {

constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kSlots = 9;
constexpr std::size_t kCellsPerDataCentre = 2;
constexpr std::uint64_t kWorkersPerCell = 3;

}  // namespace

Model::Model(const ModelSettings& settings)
    : settings_(settings), generator_(settings.seed) {
  faults_end_ = now_ + settings.fault_duration;
  for (std::size_t i = 0; i < kDataCentres * kCellsPerDataCentre; ++i) {
    cells_.push_back(CellId{"dc-" + std::to_string(i % kDataCentres) + "/" +
                            std::to_string(i / kDataCentres)});
    for (std::uint64_t worker = 0; worker < kWorkersPerCell; ++worker) {
      workers_[cells_.back()][WorkerId{i * kWorkersPerCell + worker}] = Epoch{};
    }
  }
  slots_.resize(kSlots);
  for (std::size_t slot = 0; slot < kSlots; ++slot) StartProcess(slot);
  // The platform lists its instances before their processes start.
  lists_.clear();
  const std::vector<ListedInstance> list = DelayedList();
  for (const auto& process : processes_) process->table->ApplyList(list, now_);
  Schedule(5s, FaultStarts{});
}

ModelResult Model::Run() {
  const TimePoint end =
      faults_end_ + settings_.settle_duration + settings_.quiet_duration;
  while (!events_.empty() && events_.top().at <= end &&
         result_.violation.empty()) {
    Scheduled next = events_.top();
    events_.pop();
    now_ = next.at;
    Dispatch(std::move(next.event));
  }
  if (result_.violation.empty()) CheckSettled();
  return result_;
}

void Model::Schedule(Duration delay, ModelEvent event) {
  events_.push(Scheduled{now_ + delay, ++last_event_order_, std::move(event)});
}

std::optional<std::size_t> Model::ReceiverOf(const ModelEvent& event) const {
  return std::visit(
      Overloaded{
          [](const TickEvent& e) { return std::optional(e.process); },
          [](const HeartbeatArrives& e) { return std::optional(e.process); },
          [](const StoreAnswers& e) { return std::optional(e.process); },
          [](const StoreTimesOut& e) { return std::optional(e.process); },
          [](const WorkerAnswers& e) { return std::optional(e.process); },
          [](const HandoverEnds& e) { return std::optional(e.process); },
          [](const auto&) { return std::optional<std::size_t>(); },
      },
      event);
}

void Model::Dispatch(ModelEvent event) {
  const std::optional<std::size_t> receiver = ReceiverOf(event);
  if (receiver) {
    const Process& process = *processes_[*receiver];
    if (!process.running) return;
    if (process.paused_until > now_) {
      Schedule(process.paused_until - now_, std::move(event));
      return;
    }
  }
  ++result_.steps;
  std::visit(Overloaded{
                 [&](const TickEvent& e) { Tick(e.process); },
                 [&](const HeartbeatArrives& e) {
                   processes_[e.process]->table->HandleHeartbeat(e.heartbeat,
                                                                 now_);
                 },
                 [&](const HandoverEnds& e) {
                   processes_[e.process]->planner->HandleHandoverFinished(
                       e.cell, now_);
                 },
                 [&](const ReplaceSlot& e) { StartProcess(e.slot); },
                 [&](const FaultStarts&) { StartFault(); },
                 [&](const auto& e) { On(e); },
             },
             event);
  if (receiver) CheckEpochOwners(*receiver);
}

void Model::RecordViolation(const std::string& what) {
  if (!result_.violation.empty()) return;
  result_.violation =
      what + " (seed " + std::to_string(settings_.seed) + ", at " +
      std::to_string(ToMilliseconds(now_.time_since_epoch())) + " ms)";
}

void Model::CheckEpochOwners(std::size_t index) {
  const Process& process = *processes_[index];
  if (!process.running) return;
  const auto check = [&](const CellId& cell, const Epoch& epoch) {
    const auto [held, added] =
        epoch_owners_.try_emplace(std::pair(cell, epoch), index);
    if (held->second != index) {
      RecordViolation("two processes held " + cell.value + " under epoch " +
                      std::to_string(epoch.durable) + "." +
                      std::to_string(epoch.provisional));
    }
    if (added) RecordTakeover(cell);
  };
  for (const auto& [cell, held] : process.planner->owned_cells()) {
    check(cell, held.epoch);
  }
  for (const auto& [cell, epoch] : process.provisional_epochs) {
    check(cell, epoch);
  }
}

void Model::CheckSettled() {
  for (const CellId& cell : cells_) {
    int holders = 0;
    for (const auto& process : processes_) {
      if (!process->running) continue;
      const auto held = process->planner->owned_cells().find(cell);
      if (process->provisional_epochs.contains(cell)) ++holders;
      if (held == process->planner->owned_cells().end()) continue;
      ++holders;
      if (held->second.epoch != rows_[cell].row.epoch) {
        RecordViolation(cell.value +
                        " is held under another epoch than its row's");
      }
    }
    if (holders != 1) {
      RecordViolation(cell.value + " has " + std::to_string(holders) +
                      " owners");
    }
    if (row_changed_at_[cell] > faults_end_ + settings_.settle_duration) {
      RecordViolation(cell.value + " was claimed again after settling");
    }
  }
}

bool Model::FaultsActive() const { return now_ < faults_end_; }

bool Model::WithProbability(double probability) {
  return std::uniform_real_distribution<double>()(generator_) < probability;
}

Duration Model::UniformDuration(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      low.count(), high.count())(generator_));
}

std::size_t Model::UniformIndex(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(generator_);
}

Duration Model::NetworkDelay() {
  const bool late =
      FaultsActive() && !settings_.only_kills && WithProbability(0.03);
  return late ? UniformDuration(50ms, 3s) : UniformDuration(500us, 5ms);
}

}  // namespace jasminespar::membership
