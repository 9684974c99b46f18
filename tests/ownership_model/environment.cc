#include <algorithm>

#include "model.h"

namespace jasminespar::membership {

using configuration::MachineState;

void Model::On(const StoreRequestArrives& arrival) {
  const StoreRequest& request = arrival.request;
  StoreAnswers answer{request.from, request, std::nullopt, {}};
  if (store_down_until_ > now_) {
    if (WithProbability(0.5)) Schedule(NetworkDelay(), std::move(answer));
    return;
  }
  VersionedRow& row = rows_[request.cell];
  answer.committed = true;
  if (request.write) {
    const auto& [expected, written] = *request.write;
    const bool skip =
        settings_.store_mutation == StoreMutation::kSkipVersionCondition;
    answer.committed = skip || expected == row.version;
    if (*answer.committed) {
      const bool rises = written.owner.value.empty()
                             ? written.epoch == row.row.epoch
                             : written.epoch > row.row.epoch;
      if (!rises && !skip) RecordViolation("the epoch of a row did not rise");
      row = VersionedRow{written, row.version + 1};
      row_changed_at_[request.cell] = now_;
      if (!written.owner.value.empty()) ++result_.claims;
    }
  }
  answer.present = row;
  const bool answer_lost =
      FaultsActive() && !settings_.only_kills && WithProbability(0.05);
  if (!answer_lost) Schedule(NetworkDelay(), std::move(answer));
}

void Model::On(const JournalWriteArrives& arrival) {
  if (store_down_until_ > now_) return;
  const Epoch& present = rows_[arrival.cell].row.epoch;
  if (arrival.epoch > present) {
    RecordViolation("a journal epoch that no row had");
  }
  if (arrival.epoch == present) return;
  ++result_.refused;
  Schedule(NetworkDelay(), WorkerAnswers{arrival.process, arrival.cell,
                                         WorkerId{}, arrival.epoch, false});
}

void Model::On(const OrderArrives& arrival) {
  Epoch& seen = workers_[arrival.cell][arrival.worker];
  const bool accepted = arrival.epoch >= seen;
  if (accepted) seen = arrival.epoch;
  if (!accepted) ++result_.refused;
  Schedule(NetworkDelay(),
           WorkerAnswers{arrival.process, arrival.cell, arrival.worker,
                         arrival.epoch, accepted});
}

void Model::StartFault() {
  if (!FaultsActive()) return;
  Schedule(settings_.only_kills ? UniformDuration(10s, 20s)
                                : UniformDuration(100ms, 6s),
           FaultStarts{});
  const std::size_t slot = UniformIndex(slots_.size());
  Process& process = *processes_[slots_[slot]];
  const TimePoint until =
      std::min(now_ + UniformDuration(200ms, 15s), faults_end_);
  const DataCentreId data_centre = process.identity.data_centre;
  const std::size_t kind = settings_.only_kills ? 0 : UniformIndex(7);
  switch (kind) {
    case 0:
      if (process.running) Kill(slots_[slot]);
      break;
    case 1:
      if (process.running) {
        process.leaving = true;
        process.planner->BeginLeave();
      }
      break;
    case 2:
      process.paused_until = until;
      break;
    case 3:
      store_down_until_ = until;
      break;
    case 4:
      store_unreachable_until_[data_centre] = until;
      break;
    case 5: {
      // Within one data centre as well as between two.
      const auto& other =
          processes_[slots_[UniformIndex(slots_.size())]]->identity;
      link_down_until_[std::minmax(data_centre, other.data_centre)] = until;
      break;
    }
    default:
      list_errors_[process.identity.id] = {
          WithProbability(0.5) ? MachineState::kGone : MachineState::kLeaving,
          until};
  }
}

void Model::Kill(std::size_t index) {
  Process& process = *processes_[index];
  process.running = false;
  const bool has_peer =
      std::any_of(processes_.begin(), processes_.end(), [&](const auto& other) {
        return other->running &&
               other->identity.data_centre == process.identity.data_centre;
      });
  for (const auto& [cell, held] : process.planner->owned_cells()) {
    const bool local =
        configuration::DataCentreOf(cell) == process.identity.data_centre;
    const bool current = held.epoch == rows_[cell].row.epoch;
    if (has_peer && local && current) owner_killed_at_[cell] = now_;
  }
  Schedule(UniformDuration(1s, 20s), ReplaceSlot{process.slot});
}

void Model::RecordTakeover(const CellId& cell) {
  const auto killed = owner_killed_at_.find(cell);
  if (killed == owner_killed_at_.end()) return;
  result_.takeovers.push_back(now_ - killed->second);
  owner_killed_at_.erase(killed);
}

std::vector<ListedInstance> Model::DelayedList() {
  std::vector<ListedInstance> present;
  for (const auto& process : processes_) {
    if (!process->running) continue;
    present.push_back(process->identity);
    if (process->leaving) present.back().state = MachineState::kLeaving;
    const auto wrong = list_errors_.find(process->identity.id);
    if (wrong != list_errors_.end() && wrong->second.second > now_) {
      present.back().state = wrong->second.first;
    }
  }
  lists_.emplace_back(now_, present);
  const TimePoint known = now_ - UniformDuration(0s, 10s);
  const auto newer = std::upper_bound(
      lists_.begin(), lists_.end(), known,
      [](TimePoint at, const auto& list) { return at < list.first; });
  return newer == lists_.begin() ? lists_.front().second
                                 : std::prev(newer)->second;
}

bool Model::CanCommunicate(const DataCentreId& a, const DataCentreId& b) const {
  const auto link = link_down_until_.find(std::minmax(a, b));
  return link == link_down_until_.end() || link->second <= now_;
}

bool Model::CanReachStore(const DataCentreId& from) const {
  const auto link = store_unreachable_until_.find(from);
  return link == store_unreachable_until_.end() || link->second <= now_;
}

}  // namespace jasminespar::membership
