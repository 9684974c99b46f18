/// @file
/// Inputs and effects of the dispatcher.

#ifndef JASMINESPAR_JOBS_MESSAGES_H_
#define JASMINESPAR_JOBS_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/progress.h"
#include "jasminespar/jobs/site_configuration.h"
#include "jasminespar/jobs/worker.h"

namespace jasminespar::jobs {

/// The present time, on both clocks.
struct Now {
  TimePoint steady;
  WallTime wall;
};

using OrderNumber = NumericId<struct OrderTag>;
using CommitNumber = NumericId<struct CommitTag>;

// ---- Inputs ----

struct ConfigurationChanged {
  std::shared_ptr<const SiteConfiguration> configuration;
};

/// A job that the table holds; with its progress after a takeover.
struct JobFound {
  AcceptedJob job;
  JobProgress progress;
};

struct JobCancelled {
  JobId job;
};

struct WorkerListed {
  WorkerEntry entry;
};

struct WorkerUnlisted {
  WorkerName name;
};

/// A worker whose name is durable, because it may have had orders: who takes
/// the cell over must hear from it, also when the list has lost it.
struct WorkerEnrolled {
  WorkerName name;
  std::string host;
  std::uint16_t port = 0;
};

/// A look or order was answered or given up.
struct OrderAccepted {
  WorkerClock clock;
};
struct OrderRefused {
  OrderRefusal refusal = OrderRefusal::kMalformed;
};
struct OrderUnanswered {};  ///< It may be carried out, even later.
using OrderOutcome =
    std::variant<OrderAccepted, OrderRefused, OrderUnanswered, WorkerReport>;
struct OrderEnded {
  OrderNumber order;
  WorkerName worker;
  OrderOutcome outcome;
};

struct CommitDone {
  CommitNumber commit;
};

using DispatcherInput =
    std::variant<ConfigurationChanged, JobFound, JobCancelled, WorkerListed,
                 WorkerUnlisted, WorkerEnrolled, OrderEnded, CommitDone>;

// ---- Effects ----

struct StartRun {
  TaskName task;
  RunNumber run;
  std::shared_ptr<const std::string> payload;
  std::string checkpoint;
};
struct StopRun {
  TaskName task;
  RunNumber run;
};
/// Renews the lease, acknowledges ends, and asks for the worker's lists.
struct PollWorker {
  std::uint64_t acknowledge_to = 0;  ///< Ends up to this are forgotten.
  Duration wait{};                   ///< For an end; zero: answer at once.
};
using WorkerOrder = std::variant<StartRun, StopRun, PollWorker>;

struct SendOrder {
  OrderNumber order;
  WorkerName worker;
  std::string host;
  std::uint16_t port = 0;
  WorkerClock lease_until;  ///< Zero: the order carries no lease.
  WorkerOrder what;
};

/// Rows that one commit writes or deletes, at most, without those of forgotten
/// jobs. A table takes a hundred rows in one transaction.
inline constexpr std::size_t kMaxCommitRows = 80;

/// Tasks whose progress one commit holds, at most; a single larger job goes
/// alone. A table takes a megabyte in one transaction.
inline constexpr std::size_t kMaxCommitTasks = 4000;

/// Everything in one commit is durable before CommitDone.
struct Commit {
  CommitNumber commit;
  std::vector<JobProgress> progress;
  std::vector<JobStatus> statuses;
  std::vector<JobId> forgotten;  ///< All rows of these jobs are deleted.
  std::vector<WorkerEnrolled> enrolled;
  std::vector<WorkerName> departed;  ///< Surely run nothing any more.
};

enum class DecisionKind : std::uint8_t {
  kStart,
  kStop,
  kRunEnded,
  kJobCompleted,
  kJobFailed,
  kJobTaken,
  kJobCancelled,
  kWorkerSilent,
  kWorkerBack,
  kWorkerReborn,
  kWorkerLeaving,
  kWorkerQuarantined,
  kOrderUnanswered,
  kOrderRefused,
  kRunLost,
  kReclaimPostponed,
};

inline constexpr NameTable<DecisionKind, 16> kDecisionNames{{
    {DecisionKind::kStart, "start", "A run was ordered."},
    {DecisionKind::kStop, "stop", "A run was told to stop."},
    {DecisionKind::kRunEnded, "run_ended", "A worker listed an end."},
    {DecisionKind::kJobCompleted, "job_completed", "Every task is done."},
    {DecisionKind::kJobFailed, "job_failed", "A task used up its attempts."},
    {DecisionKind::kJobTaken, "job_taken", "The owner learned of a job."},
    {DecisionKind::kJobCancelled, "job_cancelled", "A caller cancelled it."},
    {DecisionKind::kWorkerSilent, "worker_silent", "Looks got no answer."},
    {DecisionKind::kWorkerBack, "worker_back", "A worker answers again."},
    {DecisionKind::kWorkerReborn, "worker_reborn", "A worker restarted."},
    {DecisionKind::kWorkerLeaving, "worker_leaving", "It gets nothing new."},
    {DecisionKind::kWorkerQuarantined, "worker_quarantined",
     "It failed several runs in a row."},
    {DecisionKind::kOrderUnanswered, "order_unanswered",
     "An order may or may not be carried out."},
    {DecisionKind::kOrderRefused, "order_refused", "A worker refused it."},
    {DecisionKind::kRunLost, "run_lost", "A run is surely over, unlisted."},
    {DecisionKind::kReclaimPostponed, "reclaim_postponed",
     "Stopping others would lose more than it is worth yet."},
}};
static_assert(IsDense(kDecisionNames));

/// Why; one word of the log line.
enum class DecisionCause : std::uint8_t {
  kNone,
  kRoomFound,
  kPreempted,
  kCancelled,
  kGangIncomplete,
  kStray,
  kNoProgress,
  kLeaseOver,
  kNewIncarnation,
  kUnanswered,
  kRefused,
};

inline constexpr NameTable<DecisionCause, 11> kDecisionCauseNames{{
    {DecisionCause::kNone, "none", "Nothing to add."},
    {DecisionCause::kRoomFound, "room_found", "A worker has room for it."},
    {DecisionCause::kPreempted, "preempted", "A guarantee needs the room."},
    {DecisionCause::kCancelled, "cancelled", "Its job was cancelled."},
    {DecisionCause::kGangIncomplete, "gang_incomplete",
     "Another member cannot run."},
    {DecisionCause::kStray, "stray", "No job here has this run."},
    {DecisionCause::kNoProgress, "no_progress", "Its work stands still."},
    {DecisionCause::kLeaseOver, "lease_over", "The lease surely ran out."},
    {DecisionCause::kNewIncarnation, "new_incarnation",
     "The worker restarted."},
    {DecisionCause::kUnanswered, "unanswered", "Its order got no answer."},
    {DecisionCause::kRefused, "refused", "The worker turned it away."},
}};
static_assert(IsDense(kDecisionCauseNames));

/// For the log: what was decided, on what.
struct Decision {
  DecisionKind kind = DecisionKind::kStart;
  DecisionCause cause = DecisionCause::kNone;
  TaskName task;      ///< Only the job is set where no task is meant.
  WorkerName worker;  ///< Empty where none is meant.
  RunNumber run;
  std::string detail;  ///< Name of an ending or a refusal; may be empty.
  Duration age{};      ///< Of the job, or of the worker's last report.
};

using DispatcherEffect = std::variant<SendOrder, Commit, Decision>;

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_MESSAGES_H_
