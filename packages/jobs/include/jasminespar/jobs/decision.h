/// @file
/// What the dispatcher reports of its decisions, for the log.

#ifndef JASMINESPAR_JOBS_DECISION_H_
#define JASMINESPAR_JOBS_DECISION_H_

#include <cstdint>
#include <string>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/job.h"
#include "jasminespar/jobs/worker.h"

namespace jasminespar::jobs {

/// What a log line reports.
enum class DecisionKind : std::uint8_t {
  kStart,
  kStop,
  kRunEnded,
  kJobCompleted,
  kJobFailed,
  kJobLoaded,
  kJobCancelled,
  kWorkerSilent,
  kWorkerResponding,
  kWorkerRestarted,
  kWorkerLeaving,
  kWorkerLeft,
  kWorkerUnlisted,
  kWorkerQuarantined,
  kOrderUnanswered,
  kOrderRefused,
  kRunLost,
  kReclaimPostponed,
  kReportPartial,
  kReportOvertaken,
  kCommitSplit,
  kCheckpointNotStored,
  kDataCentreEmptied,
  kDataCentreInUse,
  kPacesDiffer,
  kPacesAlike,
  kRunOfUnknownJob,
  kGuaranteedWorkWaits,
};

inline constexpr NameTable<DecisionKind, 28> kDecisionNames{{
    {DecisionKind::kStart, "start", "A start was ordered."},
    {DecisionKind::kStop, "stop", "A stop was ordered."},
    {DecisionKind::kRunEnded, "run_ended", "A worker reported an ended run."},
    {DecisionKind::kJobCompleted, "job_completed", "Every task has completed."},
    {DecisionKind::kJobFailed, "job_failed", "A task used up its attempts."},
    {DecisionKind::kJobLoaded, "job_taken", "The owner loaded a job."},
    {DecisionKind::kJobCancelled, "job_cancelled", "A caller cancelled it."},
    {DecisionKind::kWorkerSilent, "worker_silent", "Polls got no answer."},
    {DecisionKind::kWorkerResponding, "worker_back", "A worker answers again."},
    {DecisionKind::kWorkerRestarted, "worker_reborn", "A worker restarted."},
    {DecisionKind::kWorkerLeaving, "worker_leaving",
     "A worker drains and gets no new runs."},
    {DecisionKind::kWorkerLeft, "worker_left",
     "A leaving worker has ended, and what ran there with it."},
    {DecisionKind::kWorkerUnlisted, "worker_unlisted",
     "The entry of a leaving worker is gone; it may have expired, and its runs "
     "may go on."},
    {DecisionKind::kWorkerQuarantined, "worker_quarantined",
     "Runs of several jobs in a row failed on a worker."},
    {DecisionKind::kOrderUnanswered, "order_unanswered",
     "An order got no answer; whether it took effect is unknown."},
    {DecisionKind::kOrderRefused, "order_refused",
     "A worker refused an order."},
    {DecisionKind::kRunLost, "run_lost",
     "A run has ended for certain but was never listed."},
    {DecisionKind::kReclaimPostponed, "reclaim_postponed",
     "Preemption would discard too much work for now."},
    {DecisionKind::kReportPartial, "report_partial",
     "A worker has more ended runs than its report holds."},
    {DecisionKind::kReportOvertaken, "report_overtaken",
     "A report arrived after a later one, and is ignored."},
    {DecisionKind::kCommitSplit, "commit_split",
     "The table rejected a commit, so smaller ones follow."},
    {DecisionKind::kCheckpointNotStored, "checkpoint_not_stored",
     "A checkpoint does not fit into a row; the next owner lacks it."},
    {DecisionKind::kDataCentreEmptied, "data_centre_emptied",
     "The operator empties a data centre; nothing starts there."},
    {DecisionKind::kDataCentreInUse, "data_centre_in_use",
     "The operator has taken an emptied data centre back."},
    {DecisionKind::kPacesDiffer, "paces_differ",
     "Workers are known to differ in pace; decisions use that."},
    {DecisionKind::kPacesAlike, "paces_alike",
     "Workers are no longer known to differ in pace."},
    {DecisionKind::kRunOfUnknownJob, "run_unknown",
     "A worker has a run of a job that may not have been read yet."},
    {DecisionKind::kGuaranteedWorkWaits, "guaranteed_waits",
     "Work of priority 0 has waited for half of its bound; the detail says "
     "what for."},
}};
static_assert(IsDense(kDecisionNames));

/// Why a decision was made; one word of the log line.
enum class DecisionCause : std::uint8_t {
  kNone,
  kRoomFound,
  kPreempted,
  kCancelled,
  kGangIncomplete,
  kStray,
  kNoProgress,
  kLeaseExpired,
  kNewIncarnation,
  kUnanswered,
  kRefused,
  kExpired,
  kEvacuated,
  kWorkerLeaving,
};

inline constexpr NameTable<DecisionCause, 14> kDecisionCauseNames{{
    {DecisionCause::kNone, "none", "No further cause."},
    {DecisionCause::kRoomFound, "room_found", "A worker has capacity for it."},
    {DecisionCause::kPreempted, "preempted", "A guarantee needs the capacity."},
    {DecisionCause::kCancelled, "cancelled", "Its job was cancelled."},
    {DecisionCause::kGangIncomplete, "gang_incomplete",
     "Another member cannot run."},
    {DecisionCause::kStray, "stray", "No job of this owner has this run."},
    {DecisionCause::kNoProgress, "no_progress", "The run made no progress."},
    {DecisionCause::kLeaseExpired, "lease_over",
     "The lease has expired for certain."},
    {DecisionCause::kNewIncarnation, "new_incarnation",
     "The worker restarted."},
    {DecisionCause::kUnanswered, "unanswered", "The order got no answer."},
    {DecisionCause::kRefused, "refused", "The worker refused the order."},
    {DecisionCause::kExpired, "expired",
     "The order waited too long in this instance and was not sent."},
    {DecisionCause::kEvacuated, "evacuated",
     "The operator empties the data centre of the worker."},
    {DecisionCause::kWorkerLeaving, "worker_leaving",
     "The worker leaves before the run can end."},
}};
static_assert(IsDense(kDecisionCauseNames));

/// A line for the log: what was decided or learned, and about what.
struct Decision {
  DecisionKind kind = DecisionKind::kStart;
  DecisionCause cause = DecisionCause::kNone;
  TaskName task;      ///< Only the job is set if no single task is concerned.
  WorkerName worker;  ///< Empty if no worker is concerned.
  RunNumber run;
  std::string detail;  ///< For example the name of an ending or refusal.
  Duration age{};  ///< Age of the job, or time since the worker last answered.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_DECISION_H_
