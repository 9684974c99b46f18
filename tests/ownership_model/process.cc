#include "jasminespar/core/overloaded.h"
#include "model.h"

namespace jasminespar::membership {
namespace {

constexpr Duration kTick = 200ms;
constexpr Duration kHeartbeatInterval = 400ms;
constexpr Duration kListInterval = 5s;
constexpr Duration kStoreTimeout = 2s;

}  // namespace

void Model::StartProcess(std::size_t slot) {
  const std::size_t index = processes_.size();
  auto process = std::make_unique<Process>();
  const bool reuses_id = index < slots_.size() || WithProbability(0.5);
  const std::string id =
      reuses_id ? "a" + std::to_string(slot) : "b" + std::to_string(index);
  process->identity =
      ListedInstance{InstanceId{id},
                     DataCentreId{"dc-" + std::to_string(slot % 3)},
                     {"127.0.0.1", 1},
                     {"127.0.0.1", 2},
                     configuration::MachineState::kLive};
  process->slot = slot;
  process->incarnation = index + 1;
  process->table.emplace(MemberSettings{}, process->identity);
  OwnershipSettings ownership;
  ownership.mutation = settings_.ownership_mutation;
  process->planner.emplace(ownership, process->identity.id,
                           process->identity.peer, process->incarnation);
  process->provisional.emplace(ProvisionalSettings{}, process->identity.id,
                               process->incarnation);
  // A process reads the list before it does anything else.
  process->table->ApplyList(DelayedList(), now_);
  processes_.push_back(std::move(process));
  slots_[slot] = index;
  Schedule(UniformDuration(0s, kTick), TickEvent{index});
}

void Model::Tick(std::size_t index) {
  Process& process = *processes_[index];
  if (now_ >= process.next_list) PollList(process);
  if (now_ >= process.next_heartbeat) SendHeartbeats(process);
  const View view = process.table->ViewAt(now_);
  Perform(index, process.planner->Plan(view, cells_, now_));
  PlanProvisional(index, view);
  SendTraffic(index);
  if (process.leaving && process.planner->owned_cells().empty() &&
      process.requests.empty()) {
    Kill(index);
    return;
  }
  Schedule(kTick, TickEvent{index});
}

void Model::SendHeartbeats(Process& process) {
  process.next_heartbeat = now_ + kHeartbeatInterval;
  Heartbeat heartbeat;
  heartbeat.instance = process.identity.id;
  heartbeat.incarnation = process.incarnation;
  heartbeat.sequence = ++process.sequence;
  heartbeat.data_centre = process.identity.data_centre;
  heartbeat.leaving = process.leaving;
  for (const auto& [cell, held] : process.planner->owned_cells()) {
    heartbeat.cells.push_back(OwnedCell{cell, held.epoch, false, {}});
  }
  for (const auto& [cell, epoch] : process.provisional_epochs) {
    heartbeat.cells.push_back(OwnedCell{cell, epoch, false, {}});
  }
  process.table->HandleHeartbeat(heartbeat, now_);
  const bool network_faults = FaultsActive() && !settings_.only_kills;
  for (const Peer& peer : process.table->Peers(now_)) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      const Process& other = *processes_[i];
      if (!other.running || other.identity.id != peer.id) continue;
      if (!CanCommunicate(process.identity.data_centre,
                          other.identity.data_centre)) {
        continue;
      }
      if (network_faults && WithProbability(0.05)) continue;
      Schedule(NetworkDelay(), HeartbeatArrives{i, heartbeat});
      if (network_faults && WithProbability(0.03)) {
        Schedule(NetworkDelay(), HeartbeatArrives{i, heartbeat});
      }
    }
  }
}

void Model::PollList(Process& process) {
  process.next_list = now_ + kListInterval;
  if (CanReachStore(process.identity.data_centre)) {
    process.table->ApplyList(DelayedList(), now_);
  }
}

void Model::PlanProvisional(std::size_t index, const View& view) {
  Process& process = *processes_[index];
  std::vector<ProvisionalCandidate> candidates;
  for (const CellId& cell : cells_) {
    if (configuration::DataCentreOf(cell) != view.data_centre) continue;
    if (process.planner->owned_cells().contains(cell)) {
      process.provisional->HandleDurableEpoch(cell);
      process.provisional_epochs.erase(cell);
      continue;
    }
    ProvisionalCandidate entry{cell, {}, process.planner->RowEpoch(cell)};
    for (const auto& [worker, epoch] : workers_[cell]) {
      entry.workers.push_back(worker);
    }
    candidates.push_back(std::move(entry));
  }
  if (process.leaving) return;
  PerformProvisional(
      index, process.provisional->Plan(
                 view, candidates, process.planner->store_down_since(), now_));
}

void Model::SendTraffic(std::size_t index) {
  Process& process = *processes_[index];
  std::map<CellId, Epoch> served = process.provisional_epochs;
  for (const auto& [cell, held] : process.planner->owned_cells()) {
    served[cell] = held.epoch;
    if (WithProbability(0.3) && CanReachStore(process.identity.data_centre)) {
      Schedule(NetworkDelay(), JournalWriteArrives{index, cell, held.epoch});
    }
  }
  for (const auto& [cell, epoch] : served) {
    for (const auto& [worker, seen] : workers_[cell]) {
      if (!WithProbability(0.3)) continue;
      Schedule(NetworkDelay(), OrderArrives{index, cell, worker, epoch});
    }
  }
}

void Model::Perform(std::size_t index,
                    const std::vector<OwnershipAction>& actions) {
  for (const OwnershipAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const ReadRow& read) {
              SendToStore(index, StoreRequest{0, index, read.cell, {}});
            },
            [&](const ClaimCell& claim) {
              SendToStore(index, StoreRequest{0, index, claim.cell,
                                              std::pair(claim.expected_version,
                                                        claim.row)});
            },
            [&](const ReleaseCell& release) {
              SendToStore(
                  index, StoreRequest{
                             0, index, release.cell,
                             std::pair(release.expected_version, release.row)});
            },
            [&](const StartHandover& yield) {
              Schedule(UniformDuration(50ms, 500ms),
                       HandoverEnds{index, yield.cell});
            },
            [](const DropCell&) {},
        },
        action);
  }
}

void Model::PerformProvisional(std::size_t index,
                               const std::vector<ProvisionalAction>& actions) {
  Process& process = *processes_[index];
  for (const ProvisionalAction& action : actions) {
    std::visit(Overloaded{
                   [&](const RequestLeases& obtain) {
                     for (const auto& [worker, seen] : workers_[obtain.cell]) {
                       Schedule(NetworkDelay(),
                                OrderArrives{index, obtain.cell, worker,
                                             obtain.epoch});
                     }
                   },
                   [&](const ServeProvisionally& serve) {
                     ++result_.provisional;
                     process.provisional_epochs[serve.cell] = serve.epoch;
                     process.planner->AddProvisionalCell(serve.cell);
                   },
                   [&](const EndProvisional& end) {
                     process.provisional_epochs.erase(end.cell);
                     process.planner->RemoveProvisionalCell(end.cell);
                   },
               },
               action);
  }
}

void Model::SendToStore(std::size_t index, StoreRequest request) {
  Process& process = *processes_[index];
  request.id = ++next_request_;
  process.requests.insert(request.id);
  Schedule(kStoreTimeout, StoreTimesOut{index, request});
  if (!CanReachStore(process.identity.data_centre)) return;
  const bool network_faults = FaultsActive() && !settings_.only_kills;
  if (network_faults && WithProbability(0.03)) return;
  // A late request may take effect after its sender has timed out.
  const bool late = network_faults && WithProbability(0.05);
  Schedule(late ? UniformDuration(100ms, 4s) : UniformDuration(1ms, 20ms),
           StoreRequestArrives{std::move(request)});
}

void Model::On(const StoreAnswers& answer) {
  Process& process = *processes_[answer.process];
  if (process.requests.erase(answer.request.id) == 0) return;
  OwnershipPlanner& planner = *process.planner;
  const CellId& cell = answer.request.cell;
  if (!answer.committed) {
    planner.HandleStoreFailure(cell, now_);
  } else if (!answer.request.write) {
    Perform(answer.process, planner.HandleRowRead(cell, answer.present, now_));
  } else if (*answer.committed) {
    planner.HandleWriteCommitted(cell, answer.present.version, now_);
    process.next_heartbeat = now_;  // Peers learn of the change at once.
  } else {
    Perform(answer.process,
            planner.HandleWriteConflict(cell, answer.present, now_));
  }
  Perform(answer.process,
          planner.Plan(process.table->ViewAt(now_), cells_, now_));
}

void Model::On(const StoreTimesOut& timeout) {
  Process& process = *processes_[timeout.process];
  if (process.requests.erase(timeout.request.id) == 0) return;
  if (timeout.request.write) {
    process.planner->HandleWriteUnknown(timeout.request.cell, now_);
  } else {
    process.planner->HandleStoreFailure(timeout.request.cell, now_);
  }
}

void Model::On(const WorkerAnswers& answer) {
  Process& process = *processes_[answer.process];
  if (answer.accepted) {
    PerformProvisional(answer.process,
                       process.provisional->HandleLeaseGranted(
                           answer.cell, answer.epoch, answer.worker));
    return;
  }
  PerformProvisional(answer.process, process.provisional->HandleLeaseRefused(
                                         answer.cell, answer.epoch));
  const auto held = process.planner->owned_cells().find(answer.cell);
  if (held != process.planner->owned_cells().end() &&
      held->second.epoch == answer.epoch) {
    Perform(answer.process,
            process.planner->HandleEpochRefused(answer.cell, now_));
  }
}

}  // namespace jasminespar::membership
