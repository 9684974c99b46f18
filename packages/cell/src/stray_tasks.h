/// @file
/// Tasks that workers have of this cell but that belong to no run of it:
/// each is stopped, repeatedly, until its worker says that it has ended.

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
  /// Stops the task; does nothing when that is already under way.
  void Add(const TaskRef& task, TimePoint now, EffectList& effects);

  /// @return whether the task is a stray one.
  [[nodiscard]] bool Contains(const TaskRef& task) const;

  /// Takes a worker's word on a stray task.
  void Take(const TaskUpdate& word, EffectList& effects);
  void LoseWorker(WorkerId worker);
  void Wake(TimePoint now, EffectList& effects);

  [[nodiscard]] bool HasAny(WorkerId worker) const;
  [[nodiscard]] std::optional<TimePoint> next_wake() const;

 private:
  struct Stop {
    TimePoint resend_at;
    std::uint32_t sends = 0;
  };

  std::map<WorkerId, std::map<TaskRef, Stop>> tasks_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_STRAY_TASKS_H_
