/// @file
/// The first phase of an owner: it gathers what workers run, joins it with
/// what the journal promised, and only then decides.

#ifndef JASMINESPAR_CELL_RECOVERY_H_
#define JASMINESPAR_CELL_RECOVERY_H_

#include <map>
#include <vector>

#include "context.h"
#include "replay.h"

namespace jasminespar::cell {

class Recovery {
 public:
  /// Enters the promised calls of the journal into the context.
  Recovery(Context& context, RecoveredState recovered);

  void TakeReport(Context& context, const WorkerReported& report);
  /// Keeps a word until the run it is about is known.
  void TakeWord(const TaskUpdate& word);
  void LoseWorker(Context& context, WorkerId worker);

  /// Ends recovery when every listed worker reported or time is up.
  void TryFinish(Context& context);

  [[nodiscard]] TimePoint deadline() const noexcept { return deadline_; }

 private:
  using Tasks = std::vector<ReportedTask>;

  void Revive(Context& context, ReplayedCall replayed);
  void Finish(Context& context);
  std::map<CallId, Tasks> TakeTasks(const Context& context);
  void ResumeOpen(Context& context, Call& call, const Tasks& tasks);
  void ResumeFound(Context& context, const CallId& id, const Tasks& tasks);
  void Offer(Context& context, Call& call);

  TimePoint deadline_;
  std::map<WorkerId, Tasks> reports_;
  std::vector<TaskUpdate> words_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_RECOVERY_H_
