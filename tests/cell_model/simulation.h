/// @file
/// Simulation of one cell: workers, a store, successive owners, clients and
/// random faults.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_SIMULATION_H_
#define JASMINESPAR_TESTS_CELL_MODEL_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "cell_model/model_owner.h"

namespace jasminespar::cell_model {

struct SimulationSettings {
  std::uint64_t seed = 1;
  std::uint64_t steps = 100'000;  ///< Inputs of cells until faults stop.
  std::uint64_t workers = 6;
  cell::Mutation mutation = cell::Mutation::kNone;
  WorkerMutation worker_mutation = WorkerMutation::kNone;
};

/// Random, but determined by the seed.
class Simulation {
 public:
  explicit Simulation(const SimulationSettings& settings);

  /// Runs `steps` inputs with faults, then without until all work has ended.
  /// @throws std::logic_error when a guarantee is violated.
  EventCounts Run();

 private:
  struct Client {
    CallRequest request;
    cell::ReplyToken token;
    TimePoint sent;          ///< Time of the latest submission or look-up.
    TimePoint submit_until;  ///< Not submitted again after this.
    bool collects = false;
    bool accepted = false;
  };

  // Clients.
  void GenerateCalls();
  void Submit(Client& client);
  void PollClients();
  void PollClient(Client& client, std::vector<CallId>& done);
  void Retry(Client& client, std::vector<CallId>& done);
  void LookUp(Client& client);
  void CancelRandomCalls();

  // Faults.
  void InjectFaults();
  void InjectOwnerFault();
  void InjectWorkerFault();
  void ReplaceOwner(bool kill_old);
  /// Hands the cell over to a new owner. The old one stays if it has not
  /// finished its work in time.
  void HandOver();
  void StopFaultsAndArrivals();
  void CheckDrained();

  ModelOwner& owner() { return *owners_.back(); }
  ModelWorker& RandomWorker();

  SimulationSettings settings_;
  Site site_;
  std::vector<std::shared_ptr<ModelOwner>> owners_;
  std::map<CallId, Client> clients_;
  std::uint64_t last_token_ = 0;
  std::uint64_t last_key_ = 0;
  bool generating_calls_ = true;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_SIMULATION_H_
