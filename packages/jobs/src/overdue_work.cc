// A bounded wait for every job. Answers the load of more waiting work than room
// that lasts: a job whose value has passed would wait behind all newer ones for
// as long as these keep coming.
#include <algorithm>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

void Dispatcher::Impl::MoveOverdueFirst(std::vector<WaitingStep>& waiting) {
  const auto is_urgent = [](const WaitingStep& each) {
    return each.priority == 0 && !each.no_value;
  };
  auto oldest = waiting.end();
  for (auto each = waiting.begin(); each != waiting.end(); ++each) {
    if (!each->no_value) continue;
    if (!IsOverdue(each->age, ObjectiveOf(*each->job))) continue;
    if (oldest == waiting.end() || each->age > oldest->age) oldest = each;
  }
  if (oldest == waiting.end()) return;
  // One step at a time: the others keep most of the room.
  const auto first = std::find_if_not(waiting.begin(), oldest, is_urgent);
  std::rotate(first, oldest, oldest + 1);
}

}  // namespace jasminespar::jobs
