/// @file
/// One timer per call or orphan.

#ifndef JASMINESPAR_CELL_TIMER_QUEUE_H_
#define JASMINESPAR_CELL_TIMER_QUEUE_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::cell {

class TimerQueue {
 public:
  /// Replaces the timer of a call; `nullopt` clears it.
  void Set(const CallId& id, std::optional<TimePoint> at);

  /// Removes the earliest timer that is due.
  /// @return its call, or nothing when none is due at `now`.
  [[nodiscard]] std::optional<CallId> PopDue(TimePoint now);

  [[nodiscard]] std::optional<TimePoint> next() const;

 private:
  std::set<std::pair<TimePoint, CallId>> by_time_;
  std::unordered_map<CallId, TimePoint> by_call_;
};

/// @return the earlier of two optional instants.
[[nodiscard]] std::optional<TimePoint> Earlier(std::optional<TimePoint> a,
                                               std::optional<TimePoint> b);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_TIMER_QUEUE_H_
