/// @file
/// What a decision could not place, so that it does not try the same again.
/// Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_UNPLACED_SHAPES_H_
#define JASMINESPAR_JOBS_SRC_UNPLACED_SHAPES_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// Tasks to be placed together and where they may run.
struct TaskShape {
  ServiceId service;
  std::string label;  ///< Empty: any worker of the service.
  std::string rack;   ///< The only one allowed; empty: any.
  bool one_rack = false;
  bool spares_idle_workers = false;  ///< Leaves some to urgent work.
  Resources need;                    ///< Of each task.
  std::uint32_t tasks = 0;
};

/// Room only shrinks during one decision: what needs at least as much as an
/// unplaced shape, under the same or more constraints, has no place either.
class UnplacedShapes {
 public:
  void Clear() noexcept { shapes_.clear(); }
  void Add(TaskShape shape) { shapes_.push_back(std::move(shape)); }

  /// @return whether the shape certainly has no place.
  [[nodiscard]] bool Covers(const TaskShape& shape) const {
    return std::any_of(
        shapes_.begin(), shapes_.end(), [&](const TaskShape& each) {
          return each.service == shape.service &&
                 (each.label.empty() || each.label == shape.label) &&
                 (each.rack.empty() || each.rack == shape.rack) &&
                 (!each.one_rack || shape.one_rack) &&
                 (!each.spares_idle_workers || shape.spares_idle_workers) &&
                 each.tasks <= shape.tasks && Fits(each.need, shape.need);
        });
  }

 private:
  std::vector<TaskShape> shapes_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_UNPLACED_SHAPES_H_
