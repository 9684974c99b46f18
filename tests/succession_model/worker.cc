#include "worker.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {
namespace {

constexpr std::uint64_t kMaxHoldMs = 10'000;

}  // namespace

std::uint32_t ModelWorker::Run::PercentAt(TimePoint now) const {
  if (waits || stopping || ends_at <= begun_at) return 0;
  return static_cast<std::uint32_t>(99 * (now - begun_at) /
                                    (ends_at - begun_at));
}

RunEnding ModelWorker::Run::EndingInTime() const {
  if (stopping) return RunEnding::kStopped;
  return waits ? RunEnding::kMembersMissing : RunEnding::kDone;
}

WorkerClock ModelWorker::ClockAt(TimePoint now) const {
  const auto elapsed = static_cast<double>(ToMilliseconds(now - born_at));
  return {static_cast<std::uint64_t>(elapsed * rate)};
}

void ModelWorker::Advance(TimePoint now) {
  const bool lapsed = ClockAt(now) >= lease_until;
  if (lapsed) {
    for (auto& [end, lapsed_later] : lapsed_since) lapsed_later = true;
  }
  std::vector<std::pair<TaskName, RunEnding>> over;
  for (const auto& [task, run] : runs) {
    if (lapsed) {
      over.emplace_back(task, RunEnding::kLeaseExpired);
    } else if (now >= run.ends_at) {
      over.emplace_back(task, run.EndingInTime());
    }
  }
  for (const auto& [task, ending] : over) End(task, ending, now);
}

void ModelWorker::End(const TaskName& task, RunEnding ending, TimePoint now) {
  const Run run = runs.at(task);
  runs.erase(task);
  highest_ended[task] = std::max(highest_ended[task], run.run);
  const bool saved = ending == RunEnding::kStopped && run.saves_state;
  ends.push_back({++last_end, task, run.run, ending,
                  saved ? "after-" + std::to_string(run.run.value) : ""});
  if (ending == RunEnding::kDone) lapsed_since[last_end] = false;
  on_end(ends.back(), now);
}

void ModelWorker::Renew(WorkerClock until, TimePoint now) {
  const WorkerClock most{ClockAt(now).value + kMaxHoldMs};
  lease_until = std::max(lease_until, std::min(until, most));
}

void ModelWorker::Exit() {
  up = false;
  runs.clear();
  ends.clear();
  lapsed_since.clear();
}

void ModelWorker::Begin(TimePoint now) {
  Exit();
  up = true;
  leaving = false;
  born_at = now;
  fence = 0;
  lease_until = {};
  last_end = 0;
  highest_ended.clear();
  ++entry.incarnation.value;
}

}  // namespace jasminespar::jobs
