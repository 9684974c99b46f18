/// @file
/// Decides which gangs of one cell start, on which accelerators, and which
/// borrowed gangs are reclaimed. Deterministic: no I/O, no clock, no
/// randomness. The caller performs the actions and reports their results.

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

/// A set of accelerators of one worker; bit i stands for accelerator i.
struct Allocation {
  WorkerId worker;
  std::uint64_t accelerators = 0;
  auto operator<=>(const Allocation&) const = default;
};

/// Accelerators of a whole gang, one part for each worker. parts[0] is rank 0,
/// whose answer is the answer of the job.
struct Placement {
  std::vector<Allocation> parts;
  auto operator<=>(const Placement&) const = default;
};

/// What the scheduler knows about a call.
struct Job {
  CallId id;
  ClientAccountId account;
  ServiceId service;
  Priority priority = Priority::kNormal;
  GangShape gang;
  /// Whether the running gang may be stopped and run again later. A job that is
  /// not reclaimable never borrows accelerators that a guarantee needs.
  bool reclaimable = true;
  TimePoint arrival;
  TimePoint deadline;
  Duration declared_run_time{};
};

/// Start all parts of the gang, or none.
struct StartGang {
  CallId id;
  Placement placement;
};

/// Checkpoint and stop a borrowed gang, then call `Release`.
struct ReclaimGang {
  CallId id;
};

/// The job was removed from the queue and will not be started.
struct DropJob {
  CallId id;
  Refusal refusal;
};

using Action = std::variant<StartGang, ReclaimGang, DropJob>;

/// Outcome of one part of a gang, evidence of the health of worker and job.
enum class TaskResult : std::uint8_t { kSucceeded, kFailed };

/// Load of a cell, used for routing.
struct LoadSummary {
  std::uint32_t free_accelerators = 0;
  std::uint32_t total_accelerators = 0;
  std::uint32_t waiting_jobs = 0;
  std::uint32_t running_jobs = 0;
  std::uint32_t largest_free_shape = 0;  ///< See CellTree::LargestFreeShape.
  Duration expected_wait{};              ///< For a new one-accelerator job.
};

/// Guaranteed shapes of one level that the cell cannot provide at present.
struct GuaranteeDeficit {
  configuration::ShapeLevel level = configuration::ShapeLevel::kAccelerator;
  std::uint32_t missing = 0;
  /// Accounts with guarantees of this level or above.
  std::vector<ClientAccountId> accounts;
  auto operator<=>(const GuaranteeDeficit&) const = default;
};

/// Parameters of a Scheduler.
struct PolicySettings {
  QueuePolicy queue = LeastAttainedService{};
  PlacementPolicy placement = BestFit{};
  AdmissionPolicy admission = RefuseUnreachableDeadline{};
  Validation validation = Validation::kIncremental;
  Mutation mutation = Mutation::kNone;
  std::uint32_t max_waiting_jobs = 100'000;  ///< In one cell.
  /// A gang that has waited this long is eligible for the reservation.
  Duration reservation_wait = 30s;
  /// Number of consecutive failures of distinct jobs after which a worker is
  /// quarantined.
  std::uint32_t quarantine_failures = 3;
  /// Length of the first quarantine; it doubles with each repetition
  /// without a success in between, up to 32 times this length.
  Duration quarantine_time = 10s;
  /// Number of distinct healthy workers on which a job must fail to be poison.
  std::uint32_t poison_failures = 3;
};

/// Scheduler of one cell. Not thread-safe: exactly one thread owns it. Members
/// throw InvariantViolation when they find the state inconsistent.
class Scheduler {
 public:
  Scheduler(const PolicySettings& settings,
            configuration::CellTopology topology);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Replaces the list of workers. A worker that is no longer listed, or not
  /// live, gets no new work; its running parts stay allocated until `Release`.
  void ApplyTopology(configuration::CellTopology topology, TimePoint now);

  /// Replaces the guarantees, weights and queue limits of all accounts.
  void ApplyShare(const configuration::CellShare& share, TimePoint now);

  /// Adds a waiting job. A new job has `arrival == now`. A job with an earlier
  /// `arrival` returns after a failed attempt or from a recovered journal: it
  /// was accepted before, keeps its position by arrival, and neither the queue
  /// limit of its account nor the estimate of its wait is applied to it.
  /// @param job must not be known to the scheduler.
  /// @return why the job is refused (verdict kNotRun), or nothing if it was
  ///     added.
  [[nodiscard]] std::optional<Refusal> Enqueue(const Job& job, TimePoint now);

  /// Removes a job that has not been started.
  /// @return false if no such job waits.
  bool Remove(const CallId& id);

  /// Records a gang that was found running on recovery. Parts on unknown
  /// workers are left out; a gang without any other part is not recorded.
  /// @param job must not be known to the scheduler.
  void Adopt(const Job& job, const Placement& placement, TimePoint now);

  /// Frees the accelerators of a started gang. To be called when all its parts
  /// have ended.
  void Release(const CallId& id, TimePoint now);

  /// Records the result of one part of a gang for worker health, poison
  /// detection (see IsPoison) and the run time estimates. To be called before
  /// `Release`.
  void RecordResult(const CallId& id, WorkerId worker, TaskResult result,
                    TimePoint now);

  /// @return whether the job failed on `poison_failures` or more distinct
  ///     healthy workers.
  [[nodiscard]] bool IsPoison(const CallId& id) const;

  /// Makes all decisions that are possible now.
  /// @return actions, in the order in which they must be performed.
  [[nodiscard]] std::vector<Action> Decide(TimePoint now);

  /// @return when to call Decide next if there is no other input, or nothing.
  [[nodiscard]] std::optional<TimePoint> NextDecision(TimePoint now) const;

  [[nodiscard]] LoadSummary Summary(TimePoint now) const;

  /// @return for each level, the guaranteed shapes that cannot be provided,
  ///     because workers were lost or the guarantees exceed the cell. Empty if
  ///     all guarantees can be used in full at once.
  [[nodiscard]] std::vector<GuaranteeDeficit> GuaranteeDeficits() const;

  /// @return a sentence that says why a waiting job has not started, or nothing
  ///     if no such job waits.
  [[nodiscard]] std::optional<std::string> Explain(const CallId& id,
                                                   TimePoint now) const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_SCHEDULER_H_
