#include "evacuations.h"

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

std::vector<EvacuationChange> Evacuations::Apply(const EvacuationsRead& read,
                                                 TimePoint now) {
  std::vector<EvacuationChange> changes;
  if (!in_use() || (as_of_ && read.as_of <= *as_of_)) return changes;
  as_of_ = read.as_of;
  for (const DataCentreId& data_centre : read.emptied) {
    const bool added = emptied_.try_emplace(data_centre, now).second;
    if (added) changes.push_back({data_centre, true, {}});
  }
  std::erase_if(emptied_, [&](const auto& entry) {
    const auto& [data_centre, since] = entry;
    if (read.emptied.contains(data_centre)) return false;
    changes.push_back({data_centre, false, now - since});
    return true;
  });
  return changes;
}

TimePoint Evacuations::KnownUntil() const noexcept {
  if (!in_use()) return TimePoint::max();
  return as_of_ ? *as_of_ + MaxEvacuationsAge(within_) : TimePoint::min();
}

void Dispatcher::Impl::On(const EvacuationsRead& read, const Now& now) {
  const std::vector<EvacuationChange> changes =
      evacuations_.Apply(read, now.steady);
  for (const EvacuationChange& change : changes) {
    Decision decision;
    decision.kind = change.emptied ? DecisionKind::kDataCentreEmptied
                                   : DecisionKind::kDataCentreInUse;
    decision.detail = change.data_centre.value;
    decision.age = change.lasted;
    effects_.emplace_back(std::move(decision));
  }
  if (changes.empty()) return;
  for (auto& [name, worker] : workers_) {
    worker.emptied = evacuations_.IsEmptied(worker.entry.data_centre);
    if (worker.emptied) StopUnconfirmedStarts(worker, now);
  }
}

void Dispatcher::Impl::StopUnconfirmedStarts(WorkerState& worker,
                                             const Now& now) {
  for (auto& [name, placed] : worker.placed_runs) {
    if (placed.phase != PlacedRunPhase::kStarting) continue;
    BeginStop(worker, name, placed, DecisionCause::kEvacuated, now);
    JobState* job = FindJob(name.job);
    if (job == nullptr) continue;
    StepState& step = StepOf(*job, name);
    if (!job->SpecOf(step).gang) continue;
    StopGang(*job, step, placed.run, DecisionCause::kEvacuated, now);
  }
}

}  // namespace jasminespar::jobs
