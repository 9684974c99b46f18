#include "reclaim_plans.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {

namespace {

/// A plan that has not led to a start within this time is dropped and remade.
constexpr Duration kPlanTimeout = 2500ms;

}  // namespace

const ReclaimPlan* ReclaimPlans::Find(const TaskName& key) const {
  const auto found = plans_.find(key);
  return found == plans_.end() ? nullptr : &found->second;
}

void ReclaimPlans::Add(const TaskName& key, ReclaimPlan plan,
                       WorkerMap& workers) {
  for (const WorkerName& name : plan.workers) {
    workers.at(name).reserved += plan.need;
  }
  plans_.emplace(key, std::move(plan));
}

void ReclaimPlans::Cancel(const TaskName& key, WorkerMap& workers) {
  const auto found = plans_.find(key);
  if (found == plans_.end()) return;
  for (const WorkerName& name : found->second.workers) {
    const auto worker = workers.find(name);
    if (worker == workers.end()) continue;
    worker->second.reserved -= found->second.need;
  }
  plans_.erase(found);
}

void ReclaimPlans::CancelOn(const WorkerName& worker, WorkerMap& workers) {
  std::vector<TaskName> naming;
  for (const auto& [key, plan] : plans_) {
    const bool names = std::find(plan.workers.begin(), plan.workers.end(),
                                 worker) != plan.workers.end();
    if (names) naming.push_back(key);
  }
  for (const TaskName& key : naming) Cancel(key, workers);
}

void ReclaimPlans::CancelStale(WorkerMap& workers, TimePoint now) {
  const auto is_usable = [&](const WorkerName& name) {
    const auto worker = workers.find(name);
    return worker != workers.end() && IsUsable(worker->second, now);
  };
  std::vector<TaskName> stale;
  for (const auto& [key, plan] : plans_) {
    const bool usable =
        std::all_of(plan.workers.begin(), plan.workers.end(), is_usable);
    if (!usable || now - plan.made_at >= kPlanTimeout) stale.push_back(key);
  }
  for (const TaskName& key : stale) Cancel(key, workers);
}

}  // namespace jasminespar::jobs
