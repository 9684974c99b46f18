/// @file
/// First phase of an owner: it collects the workers' reports, matches them with
/// the calls of the journal, and only then lets the cell schedule.

#ifndef JASMINESPAR_CELL_RECOVERY_H_
#define JASMINESPAR_CELL_RECOVERY_H_

#include <map>
#include <vector>

#include "context.h"
#include "replay.h"

namespace jasminespar::cell {

class Recovery {
 public:
  /// Restores the calls of the journal into the context.
  Recovery(Context& context, RecoveredState recovered);

  void HandleWorkerReport(Context& context, const WorkerReported& report);
  /// Keeps an update until recovery has restored the run that it belongs to.
  void DeferUpdate(const TaskUpdate& update);
  void HandleWorkerLost(Context& context, WorkerId worker);

  /// Ends recovery once every listed worker has reported or the deadline has
  /// passed.
  void TryFinish(Context& context);

  [[nodiscard]] TimePoint deadline() const noexcept { return deadline_; }

 private:
  using Tasks = std::vector<ReportedTask>;

  void RestoreCall(Context& context, ReplayedCall replayed);
  void Finish(Context& context);
  std::map<CallId, Tasks> TakeReportedTasks(const Context& context);
  void ResumeRecordedAttempt(Context& context, Call& call, const Tasks& tasks);
  void ResumeReportedRun(Context& context, const CallId& id,
                         const Tasks& tasks);
  void EnqueueWaiting(Context& context, Call& call);

  TimePoint deadline_;
  std::map<WorkerId, Tasks> reports_;
  std::vector<TaskUpdate> deferred_updates_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_RECOVERY_H_
