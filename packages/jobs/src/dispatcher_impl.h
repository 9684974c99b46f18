/// @file
/// State of a dispatcher; its functions are defined in several files by
/// concern. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_DISPATCHER_IMPL_H_
#define JASMINESPAR_JOBS_SRC_DISPATCHER_IMPL_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dispatcher_records.h"
#include "evacuations.h"
#include "jasminespar/jobs/caller_cost.h"
#include "jasminespar/jobs/dispatcher.h"
#include "jasminespar/jobs/worker_pace.h"
#include "job_table.h"
#include "pace_placement.h"
#include "placement.h"
#include "reclaim_plans.h"
#include "run_conclusions.h"
#include "unplaced_shapes.h"
#include "worker_pool.h"

namespace jasminespar::jobs {

class Dispatcher::Impl {
 public:
  Impl(const DispatcherSettings& settings, Epoch epoch,
       const PredecessorWindows& predecessors)
      : settings_(settings),
        epoch_(epoch),
        predecessors_(predecessors),
        evacuations_(settings.evacuate_within),
        max_row_bytes_(std::min(settings.max_row_bytes, kMaxCommitBytes)) {}

  void FinishLoading(TimePoint now);
  void Handle(DispatcherInput input, const Now& now);
  void Decide(Authority authority, const Now& now);
  [[nodiscard]] std::vector<DispatcherEffect> TakeEffects() {
    return std::exchange(effects_, {});
  }
  [[nodiscard]] PaceSummary paces() const {
    return {paces_.known(), paces_.spread()};
  }

 private:
  // failures.cc: unexpected exceptions.
  /// Runs a stage, or the part of it that concerns one job; an exception ends
  /// only that part.
  /// @param job nothing: the stage as a whole.
  /// @return whether it was completed.
  template <typename Part>
  bool Attempt(DispatcherStage stage, const std::optional<JobId>& job,
               Part part) {
    try {
      part();
      return true;
    } catch (const std::exception& error) {
      RecordFailure({stage, job.value_or(JobId{}), error.what()});
      return false;
    }
  }
  void RecordFailure(StageFailed failure);
  void RunStage(DispatcherStage stage, Authority authority, const Now& now);

  // dispatcher.cc: inputs.
  void On(JobLoaded found, const Now& now);
  void On(const JobCancelled& cancelled, const Now& now);
  void On(WorkerListed listed, const Now& now);
  void On(const WorkerUnlisted& unlisted, const Now& now);
  void On(const WorkerListConfirmed& confirmed, const Now& now);
  void On(const WorkerEnrolled& enrolled, const Now& now);
  void On(OrderEnded ended, const Now& now);

  // evacuations.cc: data centres that the operator empties.
  void On(const EvacuationsRead& read, const Now& now);
  /// Stops what the worker has not confirmed to run yet, and its gangs.
  void StopUnconfirmedStarts(WorkerState& worker, const Now& now);

  // departures.cc: runs on workers that leave.
  void NoteTimeLeft(WorkerState& worker, std::optional<Duration> left,
                    const Now& now);
  void StopDepartingRuns(const Now& now);
  /// @return whether the run must be stopped because its worker leaves.
  [[nodiscard]] bool MustDepart(const WorkerState& worker, const TaskName& name,
                                const PlacedRun& placed, const Now& now);

  // queue_records.cc: configurations of queues, for jobs whose queue is
  // dropped.
  void On(ConfigurationChanged change, const Now& now);
  void On(QueueRecorded recorded, const Now& now);
  /// Applies the newest known configuration of its queue to the job. One that
  /// is stored neither with the job nor in a record will be recorded.
  void UpdateQueue(JobState& job);
  /// Adds records to write and to delete.
  void CommitQueues(Commit& commit, const Now& now);
  void HandleQueuesCommitted(const Commit& commit);
  void HandleQueuesRejected(const Commit& commit);

  // commits.cc: what is written to the table.
  void On(const CommitDone& done, const Now& now);
  /// Divides what the commit held among smaller ones.
  void On(const CommitRejected& rejected, const Now& now);
  /// Marks the range with the task at that position of the job for writing.
  void MarkDirty(JobState& job, std::uint32_t position);
  void MarkDirty(JobState& job, const StepState& step, std::uint32_t index) {
    MarkDirty(job, step.first_task + index);
  }
  /// Splits the range until its last part fits into a row.
  /// @param range index of the range; on return, of that part.
  /// @return progress of that part.
  [[nodiscard]] JobProgress FittingProgress(JobState& job, std::size_t& range);
  /// Adds the ranges of the job that must be written to the commit, as long as
  /// they fit.
  /// @return whether all did.
  bool CommitRanges(JobState& job, CommitDraft& draft);
  /// Adds progress and statuses of changed jobs, as long as they fit.
  void CommitJobs(Commit& commit);
  /// Adds the workers to enrol and to delete, as long as they fit.
  void CommitWorkers(Commit& commit, TimePoint now);
  /// Commits changes, unless a commit is still in flight.
  void SendCommit(const Now& now);

  // run_conclusions.cc: conclusions that a run is over, and contradictions.
  /// @return what is known of the worker's lease.
  [[nodiscard]] LeaseEvidence EvidenceOf(const WorkerState& worker,
                                         TimePoint now) const;
  /// Records that a run is over although no report listed its end.
  /// @param task without a job: every run of earlier owners on the worker.
  void ConcludeOver(const WorkerState& worker, const TaskName& task,
                    RunNumber run, DecisionCause cause, const Now& now);
  /// @return whether this owner has concluded that the run was over.
  [[nodiscard]] bool IsConcludedOver(const WorkerState& worker,
                                     const TaskName& task, RunNumber run) const;
  /// Reports that the worker lists a run which should not be there.
  void ReportContradiction(Contradiction kind, const WorkerState& worker,
                           const TaskName& name, RunNumber run, const Now& now);

  // retention.cc: jobs that have ended, until they are forgotten.
  void On(const JobRowDeleted& deleted, const Now& now);
  void On(const JobRowsListed& listed, const Now& now);
  void On(const CancellationRowDeleted& deleted, const Now& now);
  /// Requests the deletion of the rows of ended jobs, and of cancellations
  /// whose job never came, after their retention. Forgets the jobs whose rows
  /// are gone.
  void ForgetOldJobs(const Now& now);
  /// Requests the deletion of the job's row, unless that was done lately.
  void RequestDeletion(const JobId& job, std::optional<TimePoint>& requested_at,
                       const Now& now);

  // earlier_runs.cc: runs that earlier owners of the cell started.
  void On(const JobRowsConfirmed& confirmed, const Now& now);
  /// @return whether every job that an earlier owner may have started is known,
  ///     if its row still exists. A run of another job is a stray from then on.
  [[nodiscard]] bool AreEarlierJobsKnown() const;
  /// Adds a reported run that this owner did not start. If its job may still
  /// become known, it is left alone until then.
  void AdoptRun(WorkerState& worker, const ListedRun& listed, const Now& now);
  /// Assigns what workers have reported of the job before it was loaded.
  void AdoptReportedRuns(JobState& job, const Now& now);
  /// Assigns a placed run to its task, or stops it if the task does not wait
  /// for one.
  void AssignRun(WorkerState& worker, const TaskName& name, PlacedRun& placed,
                 const Now& now);

  // orders.cc: orders to workers and their answers.
  [[nodiscard]] static bool RenewsLease(const WorkerState& worker,
                                        PendingOrder::Kind kind);
  /// Emits an order.
  void Send(WorkerState& worker, PendingOrder pending, WorkerOrder what,
            const Now& now);
  void SendStart(WorkerState& worker, const TaskName& name, PlacedRun& placed,
                 const Now& now);
  void SendStop(WorkerState& worker, const TaskName& name, PlacedRun& placed,
                const Now& now);
  void HandleAcceptedStart(WorkerState& worker, const PendingOrder& order,
                           WorkerClock clock, const Now& now);
  /// The worker has shown that it got the start of the run.
  void HandleConfirmedRun(WorkerState& worker, const TaskName& name,
                          RunNumber run, const Now& now);
  void HandleRefusedStart(WorkerState& worker, const PendingOrder& order,
                          OrderRefusal refusal, const Now& now);
  void HandleUnansweredStart(WorkerState& worker, const PendingOrder& order,
                             const Now& now);
  /// Handles an order that was not sent: decides anew.
  void HandleExpiredOrder(WorkerState& worker, const PendingOrder& order,
                          const Now& now);
  void HandleStopAnswer(WorkerState& worker, const PendingOrder& order,
                        bool accepted, const Now& now);
  /// Resends starts and stops that got no answer.
  void RetryOrders(WorkerState& worker, const Now& now);

  // worker_polls.cc: polls of workers, reports, leases.
  /// Sends the polls that are due.
  void PollWorkers(const Now& now);
  void SendPoll(WorkerState& worker, Duration wait, const Now& now);
  void HandleUnansweredPoll(WorkerState& worker, const Now& now);
  void HandleReport(WorkerState& worker, const PendingOrder& poll,
                    const WorkerReport& report, const Now& now);
  /// If the worker restarted, resets all that depended on its process.
  void HandleIncarnation(WorkerState& worker, Incarnation incarnation,
                         const Now& now);
  void HandleListedRun(WorkerState& worker, const ListedRun& listed,
                       const Now& now);
  /// Handles the ends listed in a report, up to one that must not be
  /// acknowledged yet.
  /// @return whether all ends of the worker have been handled.
  bool HandleListedEnds(WorkerState& worker, const WorkerReport& report,
                        const Now& now);
  /// Removes runs that are missing from the report and cannot exist any more:
  /// runs whose stop was confirmed before the poll was sent, and runs that were
  /// confirmed before it under an earlier incarnation.
  void RemoveUnlistedRuns(WorkerState& worker, const PendingOrder& poll,
                          const WorkerReport& report, const Now& now);
  /// Reconciles workers whose lease has expired, and removes the runs of silent
  /// ones.
  void ExpireLeases(const Now& now);

  // worker_exit.cc: workers that leave in an orderly way.
  /// Notes when the entry was written. To be called before it replaces the
  /// known one.
  void NoteEntry(WorkerState& worker, const WorkerEntry& entry) const;
  /// Concludes from the deletion of the worker's entry that it has ended, if
  /// the entry cannot have expired.
  void NoteDeletedEntry(WorkerState& worker, const Now& now);
  /// Nothing runs on the worker any more.
  void HandleExit(WorkerState& worker, const Now& now);

  // stalled_runs.cc: runs without progress.
  /// Stops stalled runs and gives their workers no new work for a while.
  void StopStalledRuns(const Now& now);
  /// @return the task's current run if it is running, else null.
  [[nodiscard]] PlacedRun* FindRunning(const TaskName& name,
                                       const TaskState& task);
  /// @return the longest run time that a running run of the step shows.
  [[nodiscard]] std::optional<Duration> LongestShownRunTime(
      const JobState& job, const StepState& step);
  /// Judges a task, or its whole gang, and stops the run to blame, if any.
  /// @param first the task, or the first one of the gang.
  /// @param shown the longest run time that a run of the step shows.
  void JudgeRuns(JobState& job, const TaskName& first,
                 const std::optional<Duration>& shown, const Now& now);
  /// @return whether all runs of the worker, of two at least, seem to stand
  ///     while other workers' runs go on.
  [[nodiscard]] bool IsWorkerStanding(const WorkerState& worker,
                                      const Now& now);
  /// @return whether a run may be stopped as stalled there now: it is only on a
  ///     small share of a service's workers at a time.
  [[nodiscard]] bool MaySuspect(const WorkerState& worker,
                                const Now& now) const;
  /// @return whether the service has no other worker for new work.
  [[nodiscard]] bool IsLastUsable(const WorkerState& worker,
                                  const Now& now) const;
  void StopStalledRun(JobState& job, const TaskName& name,
                      const std::string& detail, const Now& now);

  // run_ends.cc: ended and lost runs, ends of jobs.
  void HandleRunEnd(WorkerState& worker, const EndedRun& end, const Now& now);
  void HandleFailedRun(WorkerState& worker, JobState& job, StepState& step,
                       const EndedRun& end, const Now& now);
  /// Marks the task, or its whole gang, as done; completes the job if it was
  /// the last.
  void MarkDone(JobState& job, StepState& step, TaskState& task,
                const Now& now);
  void RecordCheckpoint(JobState& job, StepState& step, TaskState& task,
                        const std::string& checkpoint);
  /// Makes an active task wait for its next run, or for the end of another run
  /// of it that a worker still has.
  void RequeueTask(JobState& job, StepState& step, TaskState& task,
                   const Now& now);
  /// Removes a run that has ended for certain although no report listed its
  /// end.
  void HandleLostRun(WorkerState& worker, const TaskName& name,
                     DecisionCause cause, const Now& now);
  /// Sets the final phase and stops runs that remain, unless the job completed.
  void EndJob(JobState& job, JobPhase phase, const Now& now);
  /// Stops all placed runs of a job that was cancelled or has failed, known or
  /// not.
  void StopRunsOf(const JobId& job, const Now& now);
  /// Stops all members of a gang that belong to that run.
  void StopGang(JobState& job, StepState& step, RunNumber run,
                DecisionCause cause, const Now& now);
  /// Sends a stop, unless the run is being stopped already.
  /// @param detail for the log.
  void BeginStop(WorkerState& worker, const TaskName& name, PlacedRun& placed,
                 DecisionCause cause, const Now& now,
                 std::string_view detail = {});

  // starts.cc: choice of the tasks to start.
  void StartWaitingTasks(const Now& now);
  /// @return steps that may start, in the order of service.
  [[nodiscard]] std::vector<WaitingStep> CollectWaitingSteps(const Now& now);
  [[nodiscard]] bool MayStart(JobState& job, const StepState& step,
                              const Now& now);
  /// @return whether the step has no rack preference, can never satisfy it, or
  ///     has waited long enough for it.
  [[nodiscard]] bool MayUseOtherRacks(const JobState& job,
                                      const StepState& step,
                                      std::uint32_t tasks,
                                      const Now& now) const;
  /// Starts waiting tasks of a step, or reclaims room for them if they are
  /// guaranteed.
  void TryStartStep(const WaitingStep& waiting, const Now& now);
  /// @return whether the step's tasks may use the workers that are kept idle
  ///     for urgent work.
  [[nodiscard]] static bool IsPressing(const JobState& job,
                                       const StepSpec& spec, const Now& now);
  [[nodiscard]] static TaskShape ShapeOf(const JobState& job,
                                         const StepSpec& spec,
                                         const PlacementRequest& request,
                                         const Now& now);
  /// @return workers for the step, without the idle ones that are kept for
  ///     urgent work.
  [[nodiscard]] std::vector<Candidate> SelectCandidates(const JobState& job,
                                                        const StepState& step,
                                                        const Now& now);
  /// @return whether the gang was started.
  bool StartGang(JobState& job, StepState& step, const Now& now);
  /// @return whether every waiting task was started.
  bool StartTasks(JobState& job, StepState& step, const Now& now);
  void StartTask(JobState& job, StepState& step, std::uint32_t index,
                 WorkerState& worker, RunNumber run, const Now& now);
  /// Stops the active members of gangs that lack others.
  void StopIncompleteGangs(const Now& now);
  [[nodiscard]] RunNumber NextRun();
  /// @return a number below those of this owner's runs and above all earlier.
  [[nodiscard]] RunNumber FirstOwnRun() const;

  // pace_observations.cc: what reports and ends show of the workers' pace.
  /// To be called for each listed run before its percent is taken over.
  void ObserveProgress(const WorkerState& worker, const ListedRun& listed,
                       PlacedRun& placed, const Now& now);
  void ObserveEnd(const WorkerState& worker, const EndedRun& end,
                  const PlacedRun& placed, const Now& now);
  void RecordPace(const WorkerState& worker, const TaskName& task,
                  RunNumber run, const ObservedTime& seen);
  void ForgetPace(WorkerState& worker);
  /// Updates what is known of all workers, if that is due.
  void RefitPaces(const Now& now);
  /// @return whether decisions use the pace of workers.
  [[nodiscard]] bool PaceActs() const;
  [[nodiscard]] PaceOrder PaceOrderOf(const JobState& job,
                                      const StepState& step,
                                      const Now& now) const;
  /// @return the expected run time on the worker, for the log.
  [[nodiscard]] std::string DescribeRunTime(const JobState& job,
                                            const StepState& step,
                                            const WorkerState& worker) const;

  // reclaim.cc: preemption for guaranteed work.
  struct Victim;
  struct Offer;
  /// Chooses workers for a step at the least loss, reserves them as the step's
  /// plan and stops the victims; postpones this if the loss is too large yet.
  void Reclaim(JobState& job, StepState& step, const Now& now);
  /// Starts the step on its planned workers once these have room; cancels a
  /// plan that no longer fits its waiting tasks.
  /// @return whether the step was started.
  bool StartPlanned(JobState& job, StepState& step, const Now& now);
  /// @return whether the account's guarantee covers the step's waiting tasks on
  ///     top of its runs of priority 0.
  [[nodiscard]] bool IsWithinGuarantee(const JobState& job,
                                       const StepState& step) const;
  /// @return whether the reclaim bound is near, or the loss is small enough for
  ///     the work gained.
  [[nodiscard]] bool IsLossAcceptable(const JobState& job,
                                      const StepState& step,
                                      const std::vector<Offer>& offers,
                                      const Now& now) const;
  /// @return runs of the worker that may be preempted, least loss first.
  [[nodiscard]] std::vector<Victim> FindVictims(const WorkerState& worker,
                                                const Now& now) const;
  /// @return how many of `tasks` the worker can host, and the victims for that.
  [[nodiscard]] Offer MakeOffer(const Candidate& candidate,
                                const Resources& need, std::uint32_t tasks,
                                const Now& now) const;
  /// @return offers with the least loss per task that together host `tasks`;
  ///     empty if there are too few.
  [[nodiscard]] std::vector<Offer> CheapestOffers(std::vector<Offer> offers,
                                                  std::uint32_t tasks) const;

  // waiting_work.cc: why guaranteed work still waits, for the log.
  /// Logs it for steps whose bound is near or has passed, from time to time.
  void ExplainWaitingWork(Authority authority, const Now& now);
  [[nodiscard]] std::string WhyWaiting(JobState& job, const StepState& step,
                                       Authority authority, const Now& now);
  /// @param plan of the step; null if it has none.
  /// @return how many suited workers lack room, and which get no new work.
  [[nodiscard]] std::string DescribeWorkers(const JobState& job,
                                            const StepState& step,
                                            const ReclaimPlan* plan,
                                            const Now& now) const;

  // overdue_work.cc: a bounded wait for every job.
  /// Puts the step that is overdue for longest before other work without a
  /// guarantee.
  static void MoveOverdueFirst(std::vector<WaitingStep>& waiting);

  [[nodiscard]] JobState* FindJob(const JobId& id);
  [[nodiscard]] WorkerState* FindWorker(const WorkerName& name);
  /// Forgets a worker that nothing runs on, and the plans that name it.
  void EraseWorker(const WorkerName& name);
  [[nodiscard]] StepState& StepOf(JobState& job, const TaskName& name) {
    return job.StepAt(name.occurrence, name.step);
  }
  [[nodiscard]] bool AllWorkersReconciled() const;
  /// @return whether new work may start now.
  [[nodiscard]] bool MayStartTasks(Authority authority, const Now& now) const;
  /// Makes a placed run the current one of its waiting task.
  static void Activate(StepState& step, TaskState& task,
                       const WorkerState& worker, RunNumber run);
  void AddPlacedRun(WorkerState& worker, const TaskName& name,
                    PlacedRun placed);
  void RemovePlacedRun(WorkerState& worker, const TaskName& name);
  // decision_log.cc: Decision effects for the log.
  void LogJobDecision(DecisionKind kind, const JobState& job,
                      std::string_view detail, const Now& now);
  void LogRunDecision(DecisionKind kind, DecisionCause cause,
                      const TaskName& task, const WorkerName& worker,
                      RunNumber run, std::string_view detail, Duration age);
  /// Logs that decisions begin or cease to use the pace of workers.
  void LogPaces();
  void LogWorkerDecision(DecisionKind kind, const WorkerName& worker,
                         Duration age);

  DispatcherSettings settings_;
  Epoch epoch_;
  PredecessorWindows predecessors_;
  Evacuations evacuations_;
  std::shared_ptr<const ConfigurationSnapshot> configuration_;
  /// Of the configuration's queues, and of jobs whose queue was dropped.
  std::set<ServiceId> services_;
  std::map<QueueId, QueueRecord> recorded_queues_;  ///< As the table has them.
  std::map<QueueId, QueueRecord> queues_to_record_;
  TimePoint next_queue_check_;
  std::map<JobId, JobState> jobs_;
  std::set<JobId> live_;  ///< Jobs that have not ended.
  std::map<JobId, EarlyCancellation> cancelled_early_;
  WorkerMap workers_;
  ReclaimPlans plans_;
  RunConclusions conclusions_;
  /// Workers that new work may be placed on; of the present decision only.
  std::vector<WorkerState*> usable_;
  WorkerPaces paces_;
  bool paces_changed_ = false;  ///< Since the last Refit.
  TimePoint next_refit_;
  UnplacedShapes unplaced_;  ///< Of the present decision only.
  bool room_short_ = false;  ///< The previous decision left steps waiting.
  /// Accelerators that runs of priority 0 occupy.
  std::map<ClientAccountId, std::int64_t> urgent_use_;
  TimePoint worker_list_as_of_;
  std::map<OrderNumber, PendingOrder> orders_;
  std::set<JobId> dirty_;
  std::vector<JobId> expired_;  ///< For the next commits.
  std::vector<ForgottenJob> to_forget_;
  bool loaded_ = false;
  bool all_reconciled_ = false;
  std::size_t surplus_runs_ = 0;  ///< Placed runs with that mark.
  std::optional<Commit> commit_in_flight_;
  std::size_t max_row_bytes_;  ///< Smaller after a commit was rejected.
  std::size_t max_commit_bytes_ = kMaxCommitBytes;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_commit_ = 0;
  std::uint64_t last_run_ = 0;
  TimePoint loaded_at_;
  TimePoint jobs_as_of_;  ///< Every job that the table had then was given.
  TimePoint next_stall_check_;
  TimePoint next_explanation_;
  std::vector<DispatcherEffect> effects_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_DISPATCHER_IMPL_H_
