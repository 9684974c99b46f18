/// @file
/// Inputs and effects of the dispatcher.

#ifndef JASMINESPAR_JOBS_MESSAGES_H_
#define JASMINESPAR_JOBS_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/accepted_job.h"
#include "jasminespar/jobs/configuration_snapshot.h"
#include "jasminespar/jobs/decision.h"
#include "jasminespar/jobs/evacuation.h"
#include "jasminespar/jobs/progress.h"
#include "jasminespar/jobs/run_conclusion.h"
#include "jasminespar/jobs/worker.h"

namespace jasminespar::jobs {

/// The current time on the monotonic and the wall clock.
struct Now {
  TimePoint steady;
  WallTime wall;
};

using OrderNumber = NumericId<struct OrderTag>;
using CommitNumber = NumericId<struct CommitTag>;

// ---- Inputs ----

struct ConfigurationChanged {
  std::shared_ptr<const ConfigurationSnapshot> configuration;
};

/// A job was read from the table. `progress` is what earlier owners recorded,
/// in any order; it is empty for a new job.
struct JobLoaded {
  AcceptedJob job;
  std::vector<JobProgress> progress;
};

/// An earlier owner recorded a queue's configuration. Given before the jobs.
struct QueueRecorded {
  QueueRecord record;
};

struct JobCancelled {
  JobId job;
};

/// The table no longer has the job's row. Until then a complete read of the
/// table may give the job again, without its progress.
struct JobRowDeleted {
  JobId job;
};

/// A complete read of the table has found the rows of these jobs and no others.
struct JobRowsListed {
  std::set<JobId> jobs;
};

/// Every job that the table had at a time was given.
struct JobRowsConfirmed {
  TimePoint as_of;
};

/// The table no longer has the cancellation of the job.
struct CancellationRowDeleted {
  JobId job;
};

/// The platform's list has a new or changed entry.
struct WorkerListed {
  WorkerEntry entry;
};

/// Why the platform's list does not name a worker.
enum class UnlistedCause : std::uint8_t {
  kDeleted,     ///< Its entry was deleted.
  kUnreadable,  ///< Its entry cannot be read; its process may still run.
};

/// The platform's list no longer names the worker.
struct WorkerUnlisted {
  WorkerName name;
  UnlistedCause cause = UnlistedCause::kDeleted;
};

/// All changes of the platform's list up to a time were given.
struct WorkerListConfirmed {
  TimePoint as_of;
};

/// A worker is stored in the table. Only stored workers are sent starts. After
/// a takeover the new owner must reconcile with each of them, even if the
/// platform's list no longer has it.
struct WorkerEnrolled {
  WorkerName name;
  std::string host;
  std::uint16_t port = 0;
};

// How an order to a worker ended. A poll is an order too.
struct OrderAccepted {
  WorkerClock clock;
};
struct OrderRefused {
  OrderRefusal refusal = OrderRefusal::kMalformed;
};
struct OrderUnanswered {};  ///< The worker may still carry it out, even later.
/// It was not sent, because its time had passed. The worker is not to blame.
struct OrderExpired {};
using OrderOutcome = std::variant<OrderAccepted, OrderRefused, OrderUnanswered,
                                  OrderExpired, WorkerReport>;
struct OrderEnded {
  OrderNumber order;
  WorkerName worker;
  OrderOutcome outcome;
};

/// The commit is durable.
struct CommitDone {
  CommitNumber commit;
};

/// The table rejects the commit, and would do so again. None of it was done.
struct CommitRejected {
  CommitNumber commit;
};

using DispatcherInput =
    std::variant<ConfigurationChanged, QueueRecorded, JobLoaded, JobCancelled,
                 JobRowDeleted, JobRowsListed, JobRowsConfirmed,
                 CancellationRowDeleted, WorkerListed, WorkerUnlisted,
                 WorkerListConfirmed, WorkerEnrolled, EvacuationsRead,
                 OrderEnded, CommitDone, CommitRejected>;

// ---- Effects ----

struct StartRun {
  TaskName task;
  RunNumber run;
  std::shared_ptr<const std::string> payload;
  std::string checkpoint;  ///< To resume from; empty: start afresh.
};
struct StopRun {
  TaskName task;
  RunNumber run;
};
/// Renews the worker's lease, acknowledges ended runs, and requests a report.
struct PollWorker {
  /// The worker may delete ended runs up to this number.
  std::uint64_t acknowledge_to = 0;
  Duration wait{};  ///< Longest wait for a run to end; zero: answer at once.
};
using WorkerOrder = std::variant<StartRun, StopRun, PollWorker>;

/// Sends one order to a worker; answered with OrderEnded. The sender drops it
/// once the owner's permission for it has run out.
struct SendOrder {
  OrderNumber order;
  WorkerName worker;
  std::string host;
  std::uint16_t port = 0;
  WorkerClock lease_until;  ///< Zero: the order carries no lease.
  /// A start must be sent by then, as what it was decided on is older after.
  TimePoint send_by = TimePoint::max();
  WorkerOrder what;
};

/// Most rows that one commit writes or deletes, not counting the rows of
/// forgotten jobs. A transaction of the table holds at most 100 rows.
inline constexpr std::size_t kMaxCommitRows = 80;

/// Most tasks whose progress one commit holds.
inline constexpr std::size_t kMaxCommitTasks = 4000;

/// Most bytes of progress in one commit, before their encoding for the table. A
/// transaction of the table holds at most one megabyte after it.
inline constexpr std::size_t kMaxCommitBytes = 512U << 10;

/// A job whose row is gone.
struct ForgottenJob {
  JobId job;
  /// Of each of its rows of progress, the position of the first task.
  std::vector<std::uint32_t> progress_rows;
};

/// Writes to the table; answered with CommitDone when all of them are durable,
/// or with CommitRejected.
struct Commit {
  CommitNumber commit;
  std::vector<JobProgress> progress;
  std::vector<JobStatus> statuses;
  /// Jobs whose retention is over: delete the rows that callers wrote. May name
  /// a job again while the table still has its row.
  std::vector<JobId> expired;
  std::vector<ForgottenJob> forgotten;   ///< Delete the rows that owners wrote.
  std::vector<QueueRecord> queues;       ///< To store for the next owner.
  std::vector<QueueId> unused_queues;    ///< Whose records are deleted.
  std::vector<WorkerEnrolled> enrolled;  ///< Workers to store.
  /// Stored workers to delete: no run can be left on them.
  std::vector<WorkerName> departed;
};

/// A part of the dispatcher's work.
enum class DispatcherStage : std::uint8_t {
  kInput,
  kLeases,
  kPlans,
  kPolls,
  kOrders,
  kStalledRuns,
  kDepartures,
  kGangs,
  kStarts,
  kRetention,
  kCommit,
};

inline constexpr NameTable<DispatcherStage, 11> kDispatcherStageNames{{
    {DispatcherStage::kInput, "input", "One input was handled in part."},
    {DispatcherStage::kLeases, "leases", "Leases that have expired."},
    {DispatcherStage::kPlans, "plans", "Plans of preemption."},
    {DispatcherStage::kPolls, "polls", "Polls of workers."},
    {DispatcherStage::kOrders, "orders", "Orders that are sent again."},
    {DispatcherStage::kStalledRuns, "stalled_runs", "Runs without progress."},
    {DispatcherStage::kDepartures, "departures", "Workers that leave."},
    {DispatcherStage::kGangs, "gangs", "Gangs that lack members."},
    {DispatcherStage::kStarts, "starts", "Starts of waiting tasks."},
    {DispatcherStage::kRetention, "retention", "Ended jobs."},
    {DispatcherStage::kCommit, "commit", "What is written to the table."},
}};
static_assert(IsDense(kDispatcherStageNames));

/// An unexpected exception ended a stage, or the part of it that concerns one
/// job.
struct StageFailed {
  DispatcherStage stage = DispatcherStage::kInput;
  JobId job;  ///< Empty if no single job is concerned.
  std::string fault;
};

/// Why an owner cannot go on.
enum class ResignCause : std::uint8_t {
  kCommitsFail,  ///< None can be made, or the table rejects any size.
  kStageFailed,  ///< An exception may have left its state incomplete.
};

/// This owner cannot go on. The next one begins from the table and the workers'
/// reports.
struct ResignOwnership {
  ResignCause cause = ResignCause::kCommitsFail;
};

using DispatcherEffect =
    std::variant<SendOrder, Commit, Decision, RunConcluded, RunContradicted,
                 StageFailed, ResignOwnership>;

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_MESSAGES_H_
