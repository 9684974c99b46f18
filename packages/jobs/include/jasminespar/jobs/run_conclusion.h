/// @file
/// What an owner concludes of runs whose ends no worker has listed, what that
/// rests on, and reports that contradict it. For the log and for tests.

#ifndef JASMINESPAR_JOBS_RUN_CONCLUSION_H_
#define JASMINESPAR_JOBS_RUN_CONCLUSION_H_

#include <cstdint>
#include <optional>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/decision.h"
#include "jasminespar/jobs/predecessor_windows.h"

namespace jasminespar::jobs {

/// What the bound on the leases of a worker rests on.
enum class LeaseBasis : std::uint8_t {
  kNone,
  kPredecessors,
  kFirstReport,
  kOwnOrders,
  kExit,
};

inline constexpr NameTable<LeaseBasis, 5> kLeaseBasisNames{{
    {LeaseBasis::kNone, "none", "No owner has granted it a lease."},
    {LeaseBasis::kPredecessors, "predecessors",
     "The last lease that an earlier owner can have granted."},
    {LeaseBasis::kFirstReport, "first_report",
     "It has refused earlier owners since it reported to this one."},
    {LeaseBasis::kOwnOrders, "own_orders",
     "The last lease that this owner has granted."},
    {LeaseBasis::kExit, "exit", "Its process has ended."},
}};
static_assert(IsDense(kLeaseBasisNames));

/// What an owner knew of a worker's lease at a time. Durations are the time
/// since then; nothing: it never happened.
struct LeaseEvidence {
  LeaseBasis basis = LeaseBasis::kNone;
  Duration past_bound{};  ///< Negative: the lease may still be valid.
  std::optional<Duration> since_renewal;  ///< By an order of this owner.
  std::optional<Duration> since_answer;
  WorkerClock clock;                    ///< Last reading; zero: unknown.
  std::optional<Duration> since_clock;  ///< Since that reading.
  PredecessorWindows predecessors;      ///< When the cell was claimed.
  Duration since_load{};                ///< Since the cell was loaded.
};

/// A run, or whatever earlier owners started on a worker, counts as over though
/// the worker has not listed its end.
struct RunConcluded {
  DecisionCause cause = DecisionCause::kNone;
  TaskName task;  ///< Without a job: every run that earlier owners started.
  RunNumber run;
  RunNumber below;  ///< Above every run of earlier owners, below this one's.
  WorkerName worker;
  LeaseEvidence evidence;
};

/// How a worker's report contradicts what its owner held.
enum class Contradiction : std::uint8_t {
  kStillRunning,
  kSecondRun,
  kDoneUnnoticed,
};

inline constexpr NameTable<Contradiction, 3> kContradictionNames{{
    {Contradiction::kStillRunning, "still_running",
     "A run that was concluded to be over is listed as running."},
    {Contradiction::kSecondRun, "second_run",
     "A run is listed while another run of its task is active."},
    {Contradiction::kDoneUnnoticed, "done_unnoticed",
     "A run that was not concluded to be over has ended as done while a run "
     "that this owner started later is active."},
}};
static_assert(IsDense(kContradictionNames));

/// A worker's report shows that a task has run twice, or nearly.
struct RunContradicted {
  Contradiction kind = Contradiction::kStillRunning;
  TaskName task;
  RunNumber run;  ///< As the worker lists it.
  WorkerName worker;
  RunNumber other_run;      ///< Active run of the task; zero: none.
  WorkerName other_worker;  ///< That it is placed on.
  /// Of the conclusion that the run was over; kNone: there was none.
  DecisionCause cause = DecisionCause::kNone;
  Duration since_conclusion{};
  LeaseEvidence evidence;  ///< Of the conclusion; without one, of now.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_RUN_CONCLUSION_H_
