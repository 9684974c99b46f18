#include "timer_queue.h"

#include <algorithm>

namespace jasminespar::cell {

void TimerQueue::Set(const CallId& id, std::optional<TimePoint> at) {
  const auto found = by_call_.find(id);
  if (found != by_call_.end()) {
    if (at == found->second) return;
    by_time_.erase({found->second, id});
    by_call_.erase(found);
  }
  if (!at) return;
  by_time_.emplace(*at, id);
  by_call_.emplace(id, *at);
}

std::optional<CallId> TimerQueue::PopDue(TimePoint now) {
  if (by_time_.empty() || by_time_.begin()->first > now) return std::nullopt;
  const CallId id = by_time_.begin()->second;
  Set(id, std::nullopt);
  return id;
}

std::optional<TimePoint> TimerQueue::next() const {
  if (by_time_.empty()) return std::nullopt;
  return by_time_.begin()->first;
}

std::optional<TimePoint> Earlier(std::optional<TimePoint> a,
                                 std::optional<TimePoint> b) {
  if (!a) return b;
  if (!b) return a;
  return std::min(*a, *b);
}

}  // namespace jasminespar::cell
