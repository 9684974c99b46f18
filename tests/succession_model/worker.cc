#include <algorithm>

#include "model.h"

namespace jasminespar::jobs {
namespace {

constexpr std::uint64_t kMaxHoldMs = 10'000;

}  // namespace

WorkerClock ModelWorker::ClockAt(TimePoint now) const {
  const auto elapsed = static_cast<double>(ToMilliseconds(now - TimePoint{}));
  return {static_cast<std::uint64_t>(elapsed * rate)};
}

void ModelWorker::Advance(TimePoint now) {
  if (ClockAt(now) >= lease_until) {
    for (auto& [end, lapsed] : lapsed_since) lapsed = true;
  }
  std::vector<std::pair<TaskName, RunEnding>> over;
  for (const auto& [task, run] : runs) {
    if (ClockAt(now) >= lease_until) {
      over.emplace_back(task, RunEnding::kLeaseExpired);
    } else if (now >= run.ends_at) {
      over.emplace_back(task,
                        run.stopping ? RunEnding::kStopped : RunEnding::kDone);
    }
  }
  for (const auto& [task, ending] : over) End(task, ending, now);
}

void ModelWorker::End(const TaskName& task, RunEnding ending, TimePoint now) {
  const Run run = runs.at(task);
  runs.erase(task);
  highest_ended[task] = std::max(highest_ended[task], run.run);
  ends.push_back({++last_end, task, run.run, ending, ""});
  if (ending != RunEnding::kDone) return;
  lapsed_since[last_end] = false;
  on_end(ends.back(), now);
}

void ModelWorker::Renew(WorkerClock until, TimePoint now) {
  const WorkerClock most{ClockAt(now).value + kMaxHoldMs};
  lease_until = std::max(lease_until, std::min(until, most));
}

}  // namespace jasminespar::jobs
