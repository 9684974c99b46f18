/// @file
/// State that the owner of a cell keeps per worker: resources, lease, runs.
/// Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_WORKER_POOL_H_
#define JASMINESPAR_JOBS_SRC_WORKER_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "departures.h"
#include "jasminespar/jobs/dispatcher.h"
#include "jasminespar/jobs/messages.h"
#include "pace_probe.h"
#include "report_order.h"

namespace jasminespar::jobs {

enum class PlacedRunPhase : std::uint8_t { kStarting, kRunning, kStopping };

/// A run placed on a worker. It occupies its resources there until it has ended
/// for certain.
struct PlacedRun {
  RunNumber run;
  Resources need;
  PlacedRunPhase phase = PlacedRunPhase::kStarting;
  Incarnation incarnation;
  /// The worker's present process certainly has it or has had it.
  bool in_known_process = false;
  bool stray = false;    ///< Reported by the worker but of no known task.
  bool surplus = false;  ///< Reported while its task had another run.
  std::uint32_t priority = 0;
  ClientAccountId account;
  std::uint32_t start_attempts = 0;  ///< Number of start orders sent.
  bool in_flight = false;            ///< A start or stop order is unanswered.
  TimePoint retry_at;                ///< Of an unanswered start or stop.
  /// When the worker first confirmed that it runs.
  std::optional<TimePoint> confirmed_at;
  /// When the worker accepted the stop.
  std::optional<TimePoint> stop_confirmed_at;
  std::uint32_t percent = 0;
  RunProgressTrack track;
  std::string checkpoint;        ///< Latest that the worker reported.
  std::string start_checkpoint;  ///< The run resumes from it.
  TimePoint progressed_at;
  /// Of the last report that listed the run.
  TimePoint reported_at;
  bool adopted = false;  ///< An earlier owner started it.
  bool lasting = false;  ///< Its task runs until its job is cancelled.
  /// Since when the reports show its own rate, and the percent then.
  std::optional<TimePoint> rate_since;
  std::uint32_t rate_from = 0;
  TimePoint judge_at;  ///< When to judge again whether it has stalled.
  PaceProbe pace;

  /// @return whether the worker has not yet confirmed its start or its stop.
  [[nodiscard]] bool HasOpenOrder() const noexcept {
    return phase == PlacedRunPhase::kStarting ||
           (phase == PlacedRunPhase::kStopping && !stop_confirmed_at);
  }
};

/// Bound on the leases of what runs on a worker.
struct LeaseBound {
  /// All runs that it was ordered to start have ended by then.
  TimePoint expires_at;
  LeaseBasis basis = LeaseBasis::kNone;
  std::optional<TimePoint> renewed_at;  ///< By the last order with a lease.

  /// An order that was sent at `now` renews the lease until `bound` at most.
  void Renew(TimePoint bound, TimePoint now) noexcept;
  /// No lease is valid for longer than until `bound`, for that reason.
  void Limit(TimePoint bound, LeaseBasis reason) noexcept;
};

struct WorkerState {
  WorkerEntry entry;
  bool listed = false;
  /// Its entry was written later than this; nothing: not known.
  std::optional<TimePoint> entry_written_after;
  bool enrolled = false;  ///< It is stored in the table, so it may get work.
  /// It was stored when the cell was loaded: earlier owners may have used it.
  bool used_before = false;
  bool leaving = false;
  /// When a leaving worker may end, at the earliest; nothing: unknown.
  std::optional<TimePoint> departs_at;
  bool emptied = false;  ///< The operator empties its data centre.
  TimePoint cold_until;  ///< It runs slower, so it is used last.
  /// All its runs are known: it has reported to this owner and listed every
  /// end, it got no order from an earlier one, or its lease expired.
  bool reconciled = false;

  Incarnation incarnation;  ///< Of the process that made the newest report.
  ReportOrder reports;
  std::optional<WorkerClock> clock;  ///< The worker's clock at `clock_at`.
  TimePoint clock_at;
  LeaseBound lease;
  TimePoint last_answer;
  bool poll_unanswered = false;  ///< The last one that ended.
  bool silent = false;

  std::uint64_t processed_to = 0;   ///< Last ended run handled.
  bool has_unhandled_ends = false;  ///< The last report listed a later one.
  std::uint64_t committing_to = 0;  ///< Last one in the commit in flight.
  std::uint64_t durable_to = 0;     ///< Last one that may be acknowledged.
  /// Last one whose acknowledgement its process has answered.
  std::uint64_t acknowledged_to = 0;

  std::uint32_t polls_in_flight = 0;
  TimePoint next_poll;
  bool poll_soon = false;  ///< Poll without waiting for `next_poll`.

  std::uint32_t failures_in_row = 0;
  JobId last_failed_job;
  TimePoint quarantined_until;
  std::optional<TimePoint> stalled_at;  ///< When a run last stalled on it.
  JobId last_stalled_job;

  double slowness = 1.0;  ///< As last learned; 1: usual or not known.

  Resources used;      ///< By `placed_runs`.
  Resources reserved;  ///< By reclaim plans, for runs that have not started.
  std::map<TaskName, PlacedRun> placed_runs;
  /// Some placed run may have an open order.
  bool has_open_orders = false;

  /// @return resources neither used nor reserved, for tasks without a plan.
  [[nodiscard]] Resources room() const noexcept {
    return entry.capacity - used - reserved;
  }
  /// @return resources that no run uses, reserved or not.
  [[nodiscard]] Resources unused() const noexcept {
    return entry.capacity - used;
  }
  [[nodiscard]] bool HasStray() const;
  [[nodiscard]] bool HasLastingRun() const;

  /// @return last ended run to acknowledge now; zero: none. A process that
  ///     started unnoticed numbers its ends anew, so while it may have been
  ///     given a run, an acknowledgement could name that run's end.
  [[nodiscard]] std::uint64_t AcknowledgeTo() const;
};

/// @return the tasks of the job that have a run on the worker.
[[nodiscard]] std::vector<TaskName> PlacedTasksOf(const WorkerState& worker,
                                                  const JobId& job);

/// stalled_runs.cc: applies what a report shows of a run.
void NoteProgress(PlacedRun& placed, const ListedRun& listed, TimePoint now);

/// A worker's clock may lose or gain this much against ours, in percent.
inline constexpr int kClockDriftPercent = 2;

/// A worker whose last answer is older gets no new work.
inline constexpr Duration kMaxAnswerAge = 3500ms;

/// @return time that a leaving worker has left, by its entry; nothing if the
///     entry does not say at which time of the worker's clock it was written.
[[nodiscard]] std::optional<Duration> TimeLeftOf(const WorkerState& worker,
                                                 WorkerClock clock);

/// Why no new work may be placed on a worker.
enum class WorkerUnfit : std::uint8_t {
  kUnlisted,
  kNotEnrolled,
  kNotReconciled,
  kLeaving,
  kEmptied,
  kSilent,
  kInDoubt,
  kClockUnknown,
  kAnswerOld,
  kQuarantined,
  kStray,
};

inline constexpr NameTable<WorkerUnfit, 11> kWorkerUnfitNames{{
    {WorkerUnfit::kUnlisted, "unlisted", "The platform does not list it."},
    {WorkerUnfit::kNotEnrolled, "not_enrolled", "It is not stored yet."},
    {WorkerUnfit::kNotReconciled, "not_reconciled",
     "Runs of earlier owners may be there."},
    {WorkerUnfit::kLeaving, "leaving", "It is shutting down."},
    {WorkerUnfit::kEmptied, "emptied", "Its data centre is emptied."},
    {WorkerUnfit::kSilent, "silent", "It answers no poll."},
    {WorkerUnfit::kInDoubt, "in_doubt", "It may have started again."},
    {WorkerUnfit::kClockUnknown, "clock_unknown", "It has not reported."},
    {WorkerUnfit::kAnswerOld, "answer_old", "Its last answer is too old."},
    {WorkerUnfit::kQuarantined, "quarantined", "Orders or runs failed there."},
    {WorkerUnfit::kStray, "stray", "It has a run of no known task."},
}};
static_assert(IsDense(kWorkerUnfitNames));

/// @return why no new work may be placed on the worker; nothing if it may.
[[nodiscard]] std::optional<WorkerUnfit> UnfitReason(const WorkerState& worker,
                                                     TimePoint now);

/// @return whether new work may be placed on the worker.
[[nodiscard]] bool IsUsable(const WorkerState& worker, TimePoint now);

/// @return whether the worker may be deleted from the table: it leaves, or the
///     platform no longer lists it, and every run that it was ordered to start
///     has ended, which is durable. A worker that leaves is never ordered to
///     start anything.
[[nodiscard]] bool HasDeparted(const WorkerState& worker, TimePoint now);

/// @return whether the worker has the service and label that a step requires.
[[nodiscard]] bool IsSuited(const WorkerState& worker, const StepSpec& spec,
                            const ServiceId& service);

/// @return the lease to request for what runs on the worker. A lasting task
///     must run again soon after its worker was lost, which only the end of the
///     lease shows.
[[nodiscard]] Duration LeaseOf(const WorkerState& worker, Duration max_lease);

/// @return expiry of a lease requested now, on the worker's clock; zero if that
///     clock is unknown. The worker counts the lease's length at most, however
///     old the reading of its clock is.
[[nodiscard]] WorkerClock LeaseUntil(const WorkerState& worker,
                                     Duration max_lease, TimePoint now);

/// @return the time on this instance's clock by which a lease requested now has
///     expired for certain.
[[nodiscard]] TimePoint LeaseExpiryBound(Duration max_lease, TimePoint now);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_WORKER_POOL_H_
