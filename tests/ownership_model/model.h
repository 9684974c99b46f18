/// @file
/// Randomised simulation in virtual time: modelled processes, store and workers
/// around the real MemberTable, OwnershipPlanner and ProvisionalPlanner.

#ifndef JASMINESPAR_TESTS_OWNERSHIP_MODEL_MODEL_H_
#define JASMINESPAR_TESTS_OWNERSHIP_MODEL_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminespar/membership/member_table.h"
#include "jasminespar/membership/ownership.h"
#include "jasminespar/membership/provisional.h"

namespace jasminespar::membership {

enum class StoreMutation : std::uint8_t { kNone, kSkipVersionCondition };

struct ModelSettings {
  std::uint64_t seed = 1;
  StoreMutation store_mutation = StoreMutation::kNone;
  OwnershipMutation ownership_mutation = OwnershipMutation::kNone;
  Duration fault_duration = 120s;   ///< Faults occur,
  Duration settle_duration = 120s;  ///< then the system settles,
  Duration quiet_duration = 30s;    ///< then no claim may occur.
  bool only_kills = false;          ///< For takeover times.
};

struct ModelResult {
  std::string violation;  ///< Empty when every invariant held.
  std::uint64_t steps = 0;
  std::uint64_t claims = 0;
  std::uint64_t provisional = 0;    ///< Cells served provisionally.
  std::uint64_t refused = 0;        ///< Writes and orders of a lower epoch.
  std::vector<Duration> takeovers;  ///< From a kill to the next owner.
};

/// A process of an instance. Its index is never reused.
struct Process {
  ListedInstance identity;
  std::size_t slot = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool running = true;
  bool leaving = false;
  TimePoint paused_until;
  TimePoint next_heartbeat;
  TimePoint next_list;
  std::optional<MemberTable> table;
  std::optional<OwnershipPlanner> planner;
  std::optional<ProvisionalPlanner> provisional;
  std::map<CellId, Epoch> provisional_epochs;  ///< Served now.
  std::set<std::uint64_t> requests;            ///< Unanswered, to the store.
};

struct StoreRequest {
  std::uint64_t id = 0;
  std::size_t from = 0;  ///< Process index.
  CellId cell;
  /// Expected version and new row; empty for a read.
  std::optional<std::pair<std::uint64_t, OwnershipRow>> write;
};

// Events.
struct TickEvent {
  std::size_t process;
};
struct HeartbeatArrives {
  std::size_t process;
  Heartbeat heartbeat;
};
struct StoreRequestArrives {
  StoreRequest request;
};
/// The store's answer; `committed` is empty for an error without effect.
struct StoreAnswers {
  std::size_t process;
  StoreRequest request;
  std::optional<bool> committed;
  VersionedRow present;
};
struct StoreTimesOut {
  std::size_t process;
  StoreRequest request;
};
struct JournalWriteArrives {
  std::size_t process;
  CellId cell;
  Epoch epoch;
};
struct OrderArrives {
  std::size_t process;
  CellId cell;
  WorkerId worker;
  Epoch epoch;
};
struct WorkerAnswers {
  std::size_t process;
  CellId cell;
  WorkerId worker;
  Epoch epoch;
  bool accepted;
};
struct HandoverEnds {
  std::size_t process;
  CellId cell;
};
struct ReplaceSlot {
  std::size_t slot;
};
struct FaultStarts {};

using ModelEvent =
    std::variant<TickEvent, HeartbeatArrives, StoreRequestArrives, StoreAnswers,
                 StoreTimesOut, JournalWriteArrives, OrderArrives,
                 WorkerAnswers, HandoverEnds, ReplaceSlot, FaultStarts>;

class Model {
 public:
  explicit Model(const ModelSettings& settings);
  ModelResult Run();

 private:
  struct Scheduled {
    TimePoint at;
    std::uint64_t order;
    ModelEvent event;
    bool operator>(const Scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  // Event loop and checks (model.cc).
  void Schedule(Duration delay, ModelEvent event);
  void Dispatch(ModelEvent event);
  [[nodiscard]] std::optional<std::size_t> ReceiverOf(
      const ModelEvent& event) const;
  void RecordViolation(const std::string& what);
  /// Checks that no other process has owned a cell under an epoch of this one.
  void CheckEpochOwners(std::size_t index);
  /// Checks at the end that each cell has one owner, under the epoch of its
  /// row, and was not claimed in the quiet time.
  void CheckSettled();
  [[nodiscard]] bool FaultsActive() const;

  // One process (process.cc).
  void StartProcess(std::size_t slot);
  void Tick(std::size_t index);
  void SendHeartbeats(Process& process);
  void PollList(Process& process);
  void PlanProvisional(std::size_t index, const View& view);
  /// Sends random journal writes and worker orders for the cells it serves.
  void SendTraffic(std::size_t index);
  void Perform(std::size_t index, const std::vector<OwnershipAction>& actions);
  void PerformProvisional(std::size_t index,
                          const std::vector<ProvisionalAction>& actions);
  void SendToStore(std::size_t index, StoreRequest request);
  void On(const StoreAnswers& answer);
  void On(const StoreTimesOut& timeout);
  void On(const WorkerAnswers& answer);

  // The store, the workers, the platform and faults (environment.cc).
  void On(const StoreRequestArrives& arrival);
  void On(const JournalWriteArrives& arrival);
  void On(const OrderArrives& arrival);
  void StartFault();
  void Kill(std::size_t index);
  /// @return the platform's list as it was up to 10 s ago.
  [[nodiscard]] std::vector<ListedInstance> DelayedList();
  [[nodiscard]] bool CanCommunicate(const DataCentreId& a,
                                    const DataCentreId& b) const;
  [[nodiscard]] bool CanReachStore(const DataCentreId& from) const;
  void RecordTakeover(const CellId& cell);

  // Random values (model.cc).
  [[nodiscard]] bool WithProbability(double probability);
  [[nodiscard]] Duration UniformDuration(Duration low, Duration high);
  [[nodiscard]] std::size_t UniformIndex(std::size_t count);
  [[nodiscard]] Duration NetworkDelay();

  ModelSettings settings_;
  ModelResult result_;
  std::mt19937_64 generator_;
  TimePoint now_{1000s};
  TimePoint faults_end_;
  std::uint64_t last_event_order_ = 0;
  std::uint64_t next_request_ = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
      events_;
  std::vector<CellId> cells_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::size_t> slots_;  ///< Current process of each slot.

  std::map<CellId, VersionedRow> rows_;
  std::map<CellId, TimePoint> row_changed_at_;
  std::map<CellId, std::map<WorkerId, Epoch>> workers_;
  std::map<std::pair<CellId, Epoch>, std::size_t> epoch_owners_;
  std::map<CellId, TimePoint> owner_killed_at_;

  TimePoint store_down_until_;
  std::map<DataCentreId, TimePoint> store_unreachable_until_;
  std::map<std::pair<DataCentreId, DataCentreId>, TimePoint> link_down_until_;
  std::map<InstanceId, std::pair<configuration::MachineState, TimePoint>>
      list_errors_;
  std::vector<std::pair<TimePoint, std::vector<ListedInstance>>> lists_;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_TESTS_OWNERSHIP_MODEL_MODEL_H_
