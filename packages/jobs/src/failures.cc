// Unexpected exceptions: the owner resigns, as its state may be incomplete, and
// until then all goes on that the exception did not end.
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

void Dispatcher::Impl::RecordFailure(StageFailed failure) {
  // Without what a failed commit took up, ends would be acknowledged that no
  // commit holds.
  const ResignCause cause = failure.stage == DispatcherStage::kCommit
                                ? ResignCause::kCommitsFail
                                : ResignCause::kStageFailed;
  effects_.emplace_back(std::move(failure));
  effects_.emplace_back(ResignOwnership{cause});
}

void Dispatcher::Impl::RunStage(DispatcherStage stage, Authority authority,
                                const Now& now) {
  switch (stage) {
    case DispatcherStage::kInput:
      return;
    case DispatcherStage::kLeases:
      return ExpireLeases(now);
    case DispatcherStage::kPlans:
      return plans_.CancelStale(workers_, now.steady);
    case DispatcherStage::kPolls:
      return PollWorkers(now);
    case DispatcherStage::kOrders:
      for (auto& [name, worker] : workers_) RetryOrders(worker, now);
      return;
    case DispatcherStage::kStalledRuns:
      return StopStalledRuns(now);
    case DispatcherStage::kDepartures:
      return StopDepartingRuns(now);
    case DispatcherStage::kGangs:
      return StopIncompleteGangs(now);
    case DispatcherStage::kStarts:
      if (MayStartTasks(authority, now)) StartWaitingTasks(now);
      ExplainWaitingWork(authority, now);
      return;
    case DispatcherStage::kRetention:
      return ForgetOldJobs(now);
    case DispatcherStage::kCommit:
      return SendCommit(now);
  }
}

}  // namespace jasminespar::jobs
