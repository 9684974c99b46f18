/// @file
/// The whole model: workers, a store, owners that come and go, clients, and
/// faults at random.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORLD_H_
#define JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "cell_model/model_owner.h"

namespace jasminespar::cell_model {

struct WorldSettings {
  std::uint64_t seed = 1;
  std::uint64_t steps = 100'000;  ///< Inputs after which faults end.
  std::uint64_t workers = 6;
  cell::Mutation mutation = cell::Mutation::kNone;
  WorkerMutation worker_mutation = WorkerMutation::kNone;
};

class ModelWorld {
 public:
  explicit ModelWorld(const WorldSettings& settings);

  /// Runs to the end, and then until nothing is in progress.
  /// @throws std::logic_error when a rule is broken.
  Tally Run();

 private:
  struct Client {
    CallRequest request;
    cell::ReplyToken token;
    TimePoint sent;     ///< Of the latest submission.
    TimePoint give_up;  ///< No submission follows after this.
    bool collects = false;
    bool accepted = false;
  };

  // Clients.
  void ArriveLoop();
  void Submit(Client& client);
  void WatchLoop();
  void Watch(Client& client, std::vector<CallId>& done);
  void Retry(Client& client, std::vector<CallId>& done);
  void LookUp(Client& client);
  void CancelWave();

  // Faults.
  void FaultLoop();
  void OwnerFault();
  void WorkerFault();
  void Replace(bool kill_old);
  void HandOver();
  void EndFaults();
  void CheckDrained();

  ModelOwner& owner() { return *owners_.back(); }
  ModelWorker& AnyWorker();

  WorldSettings settings_;
  Site site_;
  std::vector<std::shared_ptr<ModelOwner>> owners_;
  std::map<CallId, Client> clients_;
  std::uint64_t last_token_ = 0;
  std::uint64_t last_key_ = 0;
  bool arriving_ = true;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_MODEL_WORLD_H_
