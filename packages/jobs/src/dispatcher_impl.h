/// @file
/// State of a dispatcher; its functions stand in several files by concern.
/// Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_DISPATCHER_IMPL_H_
#define JASMINESPAR_JOBS_SRC_DISPATCHER_IMPL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminespar/jobs/dispatcher.h"
#include "job_table.h"
#include "placement.h"
#include "worker_pool.h"

namespace jasminespar::jobs {

/// A step with tasks that wait, in the order in which steps are served.
struct WaitingStep {
  JobState* job = nullptr;
  StepState* step = nullptr;
  bool hopeless = false;  ///< Too late to earn anything.
  bool late = false;      ///< Too late to earn in full.
  std::uint32_t priority = 0;
  Duration age{};
};

class Dispatcher::Impl {
 public:
  Impl(const DispatcherSettings& settings, Epoch epoch)
      : settings_(settings), epoch_(epoch) {}

  void FinishLoading(TimePoint now);
  void Handle(DispatcherInput input, const Now& now);
  void Decide(Authority authority, const Now& now);
  [[nodiscard]] std::vector<DispatcherEffect> TakeEffects() {
    return std::exchange(effects_, {});
  }

 private:
  struct PendingOrder {
    WorkerName worker;
    TaskName task;  ///< Unset for a look.
    RunNumber run;
    TimePoint sent_at;
    enum class Kind : std::uint8_t { kStart, kStop, kLook } kind = Kind::kLook;
  };

  // dispatcher.cc: facts from the table and the list of workers.
  void Take(ConfigurationChanged change, const Now& now);
  void Take(JobFound found, const Now& now);
  void Take(const JobCancelled& cancelled, const Now& now);
  void Take(WorkerListed listed, const Now& now);
  void Take(const WorkerUnlisted& unlisted, const Now& now);
  void Take(const WorkerEnrolled& enrolled, const Now& now);
  void Take(OrderEnded ended, const Now& now);
  void Take(const CommitDone& done, const Now& now);
  void SendCommit(const Now& now);
  /// @return rows that the commit holds then.
  std::size_t CommitJobs(Commit& commit);
  void ForgetOldJobs(const Now& now);

  // orders.cc: orders to workers and what their answers mean.
  void Send(WorkerState& worker, PendingOrder pending, WorkerOrder what,
            const Now& now);
  void SendStart(WorkerState& worker, const TaskName& name, Hold& hold,
                 const Now& now);
  void SendStop(WorkerState& worker, const TaskName& name, Hold& hold,
                const Now& now);
  void StartAccepted(WorkerState& worker, const PendingOrder& order,
                     const Now& now);
  void StartRefused(WorkerState& worker, const PendingOrder& order,
                    OrderRefusal refusal, const Now& now);
  void StartUnanswered(WorkerState& worker, const PendingOrder& order,
                       const Now& now);
  void StopEnded(WorkerState& worker, const PendingOrder& order, bool accepted,
                 const Now& now);
  void RetryOrders(WorkerState& worker, const Now& now);

  // looks.cc: looks at workers and their reports.
  void LookAtWorkers(const Now& now);
  void SendLook(WorkerState& worker, Duration wait, const Now& now);
  void LookUnanswered(WorkerState& worker, const Now& now);
  void TakeReport(WorkerState& worker, const PendingOrder& look,
                  const WorkerReport& report, const Now& now);
  void TakeIncarnation(WorkerState& worker, Incarnation incarnation,
                       const Now& now);
  void TakeListedRun(WorkerState& worker, const ListedRun& listed,
                     const Now& now);
  void Adopt(WorkerState& worker, const ListedRun& listed, const Now& now);
  void DropUnlisted(WorkerState& worker, const PendingOrder& look,
                    const WorkerReport& report, const Now& now);
  void ExpireLeases(const Now& now);
  void WatchProgress(const Now& now);

  // run_ends.cc: what an end means for its task and job.
  void TakeEnd(WorkerState& worker, const ListedEnd& end, const Now& now);
  void RunFailed(WorkerState& worker, JobState& job, StepState& step,
                 const ListedEnd& end, const Now& now);
  void MarkDone(JobState& job, StepState& step, TaskState& task,
                const Now& now);
  void KeepCheckpoint(JobState& job, StepState& step, TaskState& task,
                      const std::string& checkpoint);
  void RunOver(JobState& job, StepState& step, TaskState& task, const Now& now);
  void DropHold(WorkerState& worker, const TaskName& name, DecisionCause cause,
                const Now& now);
  void EndJob(JobState& job, JobPhase phase, const Now& now);
  void StopGang(JobState& job, StepState& step, RunNumber run,
                DecisionCause cause, const Now& now);
  void BeginStop(WorkerState& worker, const TaskName& name, Hold& hold,
                 DecisionCause cause, const Now& now);
  void Touch(JobState& job) { job.dirty = true, dirty_.insert(job.job.id); }

  // starts.cc: who runs next.
  void StartWaiting(const Now& now);
  [[nodiscard]] std::vector<WaitingStep> CollectWaiting(const Now& now);
  [[nodiscard]] bool MayStart(JobState& job, const StepState& step,
                              const Now& now);
  [[nodiscard]] bool MayLeaveRack(const JobState& job, const StepState& step,
                                  std::uint32_t tasks, const Now& now) const;
  void ServeStep(const WaitingStep& waiting, const Now& now);
  [[nodiscard]] std::vector<Candidate> RoomFor(const JobState& job,
                                               const StepState& step,
                                               const Now& now);
  bool StartGang(JobState& job, StepState& step, const Now& now);
  bool StartTasks(JobState& job, StepState& step, const Now& now);
  void StartOne(JobState& job, StepState& step, std::uint32_t index,
                WorkerState& worker, RunNumber run, const Now& now);
  void MendGangs(const Now& now);
  [[nodiscard]] RunNumber NextRun();

  // reclaim.cc: room for guaranteed work.
  struct Victim;
  struct Offer;
  void Reclaim(JobState& job, StepState& step, const Now& now);
  bool StartPlanned(JobState& job, StepState& step, const Now& now);
  void DropPlan(JobState& job, StepState& step);
  [[nodiscard]] bool IsEntitled(const JobState& job,
                                const StepState& step) const;
  [[nodiscard]] bool IsWorthItsLoss(const JobState& job, const StepState& step,
                                    const std::vector<Offer>& offers,
                                    const Now& now) const;
  [[nodiscard]] std::vector<Victim> VictimsOn(const WorkerState& worker,
                                              const Now& now) const;
  [[nodiscard]] Offer OfferOf(const Candidate& candidate, const Resources& need,
                              std::uint32_t tasks, const Now& now) const;
  [[nodiscard]] std::vector<Offer> CheapestOffers(std::vector<Offer> offers,
                                                  std::uint32_t tasks) const;

  [[nodiscard]] JobState* FindJob(const JobId& id);
  [[nodiscard]] StepState& StepOf(JobState& job, const TaskName& name) {
    return job.StepAt(name.occurrence, name.step);
  }
  [[nodiscard]] bool AllAccounted() const;
  void AddHold(WorkerState& worker, const TaskName& name, Hold hold);
  void Release(WorkerState& worker, const TaskName& name);
  // notes.cc: what the log is told.
  void NoteJob(DecisionKind kind, const JobState& job, std::string_view detail,
               const Now& now);
  void NoteRun(DecisionKind kind, DecisionCause cause, const TaskName& task,
               const WorkerName& worker, RunNumber run, std::string_view detail,
               Duration age);
  void NoteWorker(DecisionKind kind, const WorkerName& worker, Duration age);

  DispatcherSettings settings_;
  Epoch epoch_;
  std::shared_ptr<const SiteConfiguration> configuration_;
  std::map<JobId, JobState> jobs_;
  std::set<JobId> live_;             ///< Jobs that are not final.
  std::set<JobId> cancelled_early_;  ///< Cancelled before they were found.
  WorkerMap workers_;
  std::map<OrderNumber, PendingOrder> orders_;
  std::set<JobId> dirty_;
  std::vector<JobId> to_forget_;
  bool loaded_ = false;
  bool all_accounted_ = false;
  bool commit_in_flight_ = false;
  std::vector<WorkerName> enrolling_;  ///< In the commit on the way.
  std::vector<WorkerName> departing_;  ///< In the commit on the way.
  std::uint64_t last_order_ = 0;
  std::uint64_t last_commit_ = 0;
  std::uint64_t last_run_ = 0;
  TimePoint loaded_at_;
  std::vector<DispatcherEffect> effects_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_DISPATCHER_IMPL_H_
