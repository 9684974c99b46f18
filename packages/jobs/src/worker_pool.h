/// @file
/// Workers of a cell as its owner sees them: room, leases, runs. Private to
/// this package.

#ifndef JASMINESPAR_JOBS_SRC_WORKER_POOL_H_
#define JASMINESPAR_JOBS_SRC_WORKER_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/jobs/dispatcher.h"
#include "jasminespar/jobs/messages.h"

namespace jasminespar::jobs {

enum class HoldPhase : std::uint8_t { kStarting, kRunning, kStopping };

/// Room that one run takes on a worker until it is surely over.
struct Hold {
  RunNumber run;
  Resources need;
  HoldPhase phase = HoldPhase::kStarting;
  Incarnation incarnation;
  bool stray = false;  ///< Listed by the worker, and no job here has it.
  std::uint32_t priority = 0;
  ClientAccountId account;
  std::uint32_t sends = 0;  ///< Of the start.
  bool in_flight = false;   ///< A start or stop awaits its answer.
  TimePoint retry_at;       ///< Of an unanswered start or stop.
  std::optional<TimePoint> confirmed_at;  ///< The worker said it runs.
  std::optional<TimePoint> stop_confirmed_at;
  std::uint32_t percent = 0;
  std::string checkpoint;        ///< Newest that the worker lists.
  std::string start_checkpoint;  ///< The start resumes from it.
  TimePoint progressed_at;
};

struct WorkerState {
  WorkerEntry entry;
  bool listed = false;
  TimePoint listed_at;    ///< When its entry last changed.
  bool enrolled = false;  ///< Its name is durable, so it may get work.
  bool leaving = false;
  bool accounted = false;  ///< It has answered under this epoch.

  std::optional<WorkerClock> clock;  ///< As of `clock_at`.
  TimePoint clock_at;
  TimePoint lease_over_at;  ///< Whatever it was told to run has ended by then.
  TimePoint last_answer;
  bool silent = false;

  std::uint64_t processed_to = 0;   ///< Ends taken in.
  std::uint64_t committing_to = 0;  ///< Of these, on the way to the table.
  std::uint64_t durable_to = 0;     ///< Of these, safe to acknowledge.

  std::uint32_t looks_in_flight = 0;
  TimePoint next_look;
  bool look_soon = false;  ///< Something waits for a fresh list.

  std::uint32_t failures_in_row = 0;
  JobId last_failed_job;
  TimePoint quarantined_until;

  Resources used;      ///< By holds.
  Resources reserved;  ///< By plans, for runs that have not started.
  std::map<TaskName, Hold> holds;

  /// @return room for work without a plan of its own.
  [[nodiscard]] Resources room() const noexcept {
    return entry.capacity - used - reserved;
  }
  /// @return room that is physically free.
  [[nodiscard]] Resources unused() const noexcept {
    return entry.capacity - used;
  }
  [[nodiscard]] bool HasStray() const;
};

/// An answer older than this makes a worker unfit for new work.
inline constexpr Duration kAnswerFresh = 3500ms;

/// @return whether new work may be placed on the worker.
[[nodiscard]] bool IsUsable(const WorkerState& worker, TimePoint now);

/// @return whether nobody need hear from the worker any more: the list has lost
///     it, and whatever it was told to run is over.
[[nodiscard]] bool HasDeparted(const WorkerState& worker, TimePoint now);

/// @return whether the worker may run tasks of a step of that queue.
[[nodiscard]] bool IsSuited(const WorkerState& worker, const StepSpec& spec,
                            const ServiceId& service);

/// @return the lease to ask for now, on the worker's clock; zero when its
///     clock is not known.
[[nodiscard]] WorkerClock LeaseUntil(const WorkerState& worker,
                                     Duration max_lease, TimePoint now);

/// @return when a lease granted now is surely over, on our clock.
[[nodiscard]] TimePoint LeaseOverAt(Duration max_lease, TimePoint now);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_WORKER_POOL_H_
