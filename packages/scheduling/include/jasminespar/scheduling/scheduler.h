/// @file
/// Chooses which gang of one cell starts where and which borrowed gang gives
/// way. Pure: no I/O, no clock, no random device. The caller performs the
/// actions and reports what became of them.

#ifndef JASMINESPAR_SCHEDULING_SCHEDULER_H_
#define JASMINESPAR_SCHEDULING_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/scheduling/policy.h"

namespace jasminespar::scheduling {

/// Accelerators of one worker; bit i is accelerator i.
struct Allocation {
  WorkerId worker;
  std::uint64_t accelerators = 0;
  auto operator<=>(const Allocation&) const = default;
};

/// Where a whole gang runs; parts[0] is rank 0, which gives the answer.
struct Placement {
  std::vector<Allocation> parts;
  auto operator<=>(const Placement&) const = default;
};

/// A call as the scheduler sees it.
struct Job {
  CallId id;
  ClientAccountId account;
  ServiceId service;
  Priority priority = Priority::kNormal;
  GangShape gang;
  /// Whether the running gang may be stopped and run again later. A job that
  /// is not reclaimable never borrows what a guarantee may call back.
  bool reclaimable = true;
  TimePoint arrival;
  TimePoint deadline;
  Duration declared_run_time{};
};

/// Start every part of the gang, or none.
struct StartGang {
  CallId id;
  Placement placement;
};

/// Checkpoint, then stop, a borrowed gang; answer with `Release`.
struct ReclaimGang {
  CallId id;
};

/// A waiting job that will not be started any more.
struct DropJob {
  CallId id;
  Refusal refusal;
};

using Action = std::variant<StartGang, ReclaimGang, DropJob>;

/// What a run says about its workers and its job.
enum class TaskResult : std::uint8_t { kSucceeded, kFailed };

/// Summary of a cell's load that routers use.
struct LoadSummary {
  std::uint32_t free_accelerators = 0;
  std::uint32_t total_accelerators = 0;
  std::uint32_t waiting_jobs = 0;
  std::uint32_t running_jobs = 0;
  std::uint32_t largest_free_shape = 0;  ///< Adjacent accelerators free.
  Duration expected_wait{};              ///< For a new one-accelerator job.
};

/// Shapes of one level that guarantees promise and the cell cannot give.
struct GuaranteeFault {
  configuration::ShapeLevel level = configuration::ShapeLevel::kAccelerator;
  std::uint32_t missing = 0;
  std::vector<ClientAccountId> accounts;  ///< Holders of such shapes.
  auto operator<=>(const GuaranteeFault&) const = default;
};

struct PolicySettings {
  QueuePolicy queue = LeastAttainedService{};
  PlacementPolicy placement = BestFit{};
  AdmissionPolicy admission = RefuseUnreachableDeadline{};
  Validation validation = Validation::kIncremental;
  Mutation mutation = Mutation::kNone;
  std::uint32_t max_waiting_jobs = 100'000;  ///< Of one cell.
  /// A gang that waits longer than this gets a reservation.
  Duration reservation_wait = 30s;
  /// Consecutive failures of distinct jobs that quarantine a worker.
  std::uint32_t quarantine_failures = 3;
  Duration quarantine_time = 10s;
  /// Distinct healthy workers on which a job fails before it is refused.
  std::uint32_t poison_failures = 3;
};

/// Scheduler of one cell. Not thread-safe: one duty owns it.
class Scheduler {
 public:
  Scheduler(const PolicySettings& settings,
            configuration::CellTopology topology);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Replaces the workers. A worker that is no longer listed, or not live,
  /// gets nothing new; its running parts stay allocated until `Release`.
  void ApplyTopology(configuration::CellTopology topology, TimePoint now);

  /// Replaces the guarantees and weights that the cell honours.
  void ApplyShare(const configuration::CellShare& share, TimePoint now);

  /// Adds a waiting job. One whose `arrival` lies before `now` comes back
  /// after a failed attempt or from a recovered journal: it was accepted
  /// before, keeps its place and is not held to the bound of its account nor
  /// to the estimate of its wait. A new job has `arrival == now`.
  /// @return why the job is refused (always kNotRun), or nothing.
  [[nodiscard]] std::optional<Refusal> Enqueue(const Job& job, TimePoint now);

  /// Takes a waiting job out.
  /// @return false when no such job waits.
  bool Remove(const CallId& id);

  /// Marks a gang found running on recovery as allocated.
  void Adopt(const Job& job, const Placement& placement, TimePoint now);

  /// Frees the accelerators of a started gang, once all parts have ended.
  void Release(const CallId& id, TimePoint now);

  /// Feeds worker health and poison detection; see IsPoison.
  void RecordResult(const CallId& id, WorkerId worker, TaskResult result,
                    TimePoint now);

  /// @return whether the job failed on enough distinct healthy workers.
  [[nodiscard]] bool IsPoison(const CallId& id) const;

  /// Decides everything that can be decided now.
  /// @return actions in the order in which they must be performed.
  [[nodiscard]] std::vector<Action> Decide(TimePoint now);

  /// @return when to call Decide next without other input, or nothing.
  [[nodiscard]] std::optional<TimePoint> NextDecision(TimePoint now) const;

  [[nodiscard]] LoadSummary Summary(TimePoint now) const;

  /// @return the guarantees that cannot all be honoured at present, since
  ///     workers are lost or the shares of the cell promise too much; by
  ///     level. Empty when every guarantee can be called back in full.
  [[nodiscard]] std::vector<GuaranteeFault> GuaranteeFaults() const;

  /// @return whether a job waits only for accelerators, and a sentence that
  ///     says why it does not run yet; nothing when no such job waits.
  [[nodiscard]] std::optional<std::string> Explain(const CallId& id,
                                                   TimePoint now) const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_SCHEDULER_H_
