/// @file
/// Stray tasks: tasks that workers have for this cell but that belong to none
/// of its runs. A stop is sent repeatedly until the worker reports that the
/// task has ended.
/// Unlike an orphan (orphans.h), a stray task is not kept for a caller to join.

#ifndef JASMINESPAR_CELL_STRAY_TASKS_H_
#define JASMINESPAR_CELL_STRAY_TASKS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "effect_list.h"
#include "jasminespar/cell/task.h"
#include "jasminespar/core/time.h"

namespace jasminespar::cell {

class StrayTasks {
 public:
  /// Adds the task and sends the first stop; does nothing for a known task.
  void Add(const TaskRef& task, TimePoint now, EffectList& effects);

  [[nodiscard]] bool Contains(const TaskRef& task) const;

  /// Removes a task that has ended and has its worker delete its result.
  void HandleUpdate(const TaskUpdate& update, EffectList& effects);
  void RemoveWorker(WorkerId worker);
  void ResendDueStops(TimePoint now, EffectList& effects);

  [[nodiscard]] bool HasAny(WorkerId worker) const;
  [[nodiscard]] std::optional<TimePoint> next_timer() const;

 private:
  struct Stop {
    TimePoint resend_at;
    std::uint32_t send_count = 0;
  };

  std::map<WorkerId, std::map<TaskRef, Stop>> tasks_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_STRAY_TASKS_H_
