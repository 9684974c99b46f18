/// @file
/// Randomised model of the instances, the store and the workers around the
/// real MemberTable, OwnershipPlanner and ProvisionalPlanner. Virtual time.

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
  Duration faulty = 120s;    ///< Faults happen so long,
  Duration settling = 120s;  ///< then the system settles,
  Duration quiet = 30s;      ///< and then no claim may happen.
  bool only_kills = false;   ///< No other faults; measures takeover.
};

struct ModelResult {
  std::string violation;  ///< Empty when every invariant held.
  std::uint64_t steps = 0;
  std::uint64_t claims = 0;
  std::uint64_t provisional = 0;    ///< Cells served provisionally.
  std::uint64_t refused = 0;        ///< Writes and orders of a lower epoch.
  std::vector<Duration> takeovers;  ///< From an owner's death to the next.
};

/// One process of an instance; its index never names another one.
struct Process {
  ListedInstance identity;
  std::size_t slot = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool alive = true;
  bool leaving = false;
  TimePoint paused_until;
  TimePoint next_heartbeat;
  TimePoint next_list;
  std::optional<MemberTable> table;
  std::optional<OwnershipPlanner> planner;
  std::optional<ProvisionalPlanner> provisional;
  std::map<CellId, Epoch> provisional_epochs;  ///< Served now.
  std::set<std::uint64_t> requests;            ///< Store requests unanswered.
};

struct StoreRequest {
  std::uint64_t id = 0;
  std::size_t from = 0;  ///< Process.
  CellId cell;
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
/// The store's answer; `committed` is empty for an error without an effect.
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

  // Driving (model.cc).
  void Schedule(Duration delay, ModelEvent event);
  void Dispatch(ModelEvent event);
  [[nodiscard]] std::optional<std::size_t> ReceiverOf(
      const ModelEvent& event) const;
  void Violate(const std::string& what);
  void CheckHolders(std::size_t index);
  void CheckSettled();
  [[nodiscard]] bool Faulty() const;

  // One process (process.cc).
  void StartProcess(std::size_t slot);
  void Tick(std::size_t index);
  void SendHeartbeats(Process& process);
  void PollList(Process& process);
  void PlanProvisional(std::size_t index, const View& view);
  void Work(std::size_t index);
  void Perform(std::size_t index, const std::vector<OwnershipAction>& actions);
  void PerformProvisional(std::size_t index,
                          const std::vector<ProvisionalAction>& actions);
  void SendToStore(std::size_t index, StoreRequest request);
  void On(const StoreAnswers& answer);
  void On(const StoreTimesOut& timeout);
  void On(const WorkerAnswers& answer);

  // Surroundings and faults (surroundings.cc).
  void On(const StoreRequestArrives& arrival);
  void On(const JournalWriteArrives& arrival);
  void On(const OrderArrives& arrival);
  void StartFault();
  void Kill(std::size_t index);
  [[nodiscard]] std::vector<ListedInstance> LaggingList();
  [[nodiscard]] bool Linked(const DataCentreId& a, const DataCentreId& b) const;
  [[nodiscard]] bool StoreReached(const DataCentreId& from) const;
  void RecordTakeover(const CellId& cell);

  // Random draws.
  [[nodiscard]] bool Chance(double probability);
  [[nodiscard]] Duration Between(Duration low, Duration high);
  [[nodiscard]] std::size_t Index(std::size_t count);
  [[nodiscard]] Duration NetworkDelay();

  ModelSettings settings_;
  ModelResult result_;
  std::mt19937_64 generator_;
  TimePoint now_{1000s};
  TimePoint faults_end_;
  std::uint64_t order_ = 0;
  std::uint64_t next_request_ = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
      events_;
  std::vector<CellId> cells_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::size_t> slots_;  ///< Present process of each slot.

  std::map<CellId, VersionedRow> rows_;
  std::map<CellId, TimePoint> row_changed_;
  std::map<CellId, std::map<WorkerId, Epoch>> workers_;
  std::map<std::pair<CellId, Epoch>, std::size_t> holders_;
  std::map<CellId, TimePoint> owner_died_;

  TimePoint store_down_until_;
  std::map<DataCentreId, TimePoint> cut_from_store_until_;
  std::map<std::pair<DataCentreId, DataCentreId>, TimePoint> cut_until_;
  std::map<InstanceId, std::pair<configuration::MachineState, TimePoint>>
      wrongly_listed_;
  std::vector<std::pair<TimePoint, std::vector<ListedInstance>>> lists_;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_TESTS_OWNERSHIP_MODEL_MODEL_H_
