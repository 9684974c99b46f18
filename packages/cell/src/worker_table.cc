#include "worker_table.h"

#include <algorithm>
#include <utility>

#include "invariant.h"
#include "timer_queue.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kSuspension = 1s;

}  // namespace

WorkerTable::WorkerTable(configuration::CellTopology topology, Duration lease)
    : lease_(lease) {
  ApplyTopology(std::move(topology), TimePoint{});
}

WorkerTable::Entry* WorkerTable::Find(WorkerId worker) {
  const auto found = entries_.find(worker);
  return found == entries_.end() ? nullptr : &found->second;
}

void WorkerTable::ApplyTopology(configuration::CellTopology topology,
                                TimePoint now) {
  cell_ = std::move(topology.id);
  for (auto& [id, entry] : entries_) {
    if (std::exchange(entry.listed, false)) entry.unlisted_since = now;
  }
  order_.clear();
  for (configuration::Worker& worker : topology.workers) {
    Entry& entry = entries_[worker.id];
    order_.push_back(worker.id);
    entry.worker = std::move(worker);
    entry.listed = true;
    entry.unlisted_since.reset();
  }
  changed_ = true;
}

void WorkerTable::MarkReported(WorkerId worker, bool leaving) {
  Entry* entry = Find(worker);
  if (entry == nullptr) return;
  changed_ |= !entry->reported || entry->leaving != leaving;
  entry->reported = true;
  entry->leaving = leaving;
}

void WorkerTable::MarkLost(WorkerId worker) {
  Entry* entry = Find(worker);
  if (entry == nullptr) return;
  changed_ |= entry->reported;
  entry->reported = false;
}

void WorkerTable::MarkLeaving(WorkerId worker) {
  Entry* entry = Find(worker);
  if (entry == nullptr) return;
  changed_ |= !entry->leaving;
  entry->leaving = true;
}

void WorkerTable::Suspend(WorkerId worker, TimePoint now) {
  Entry* entry = Find(worker);
  if (entry == nullptr) return;
  entry->suspended_until = now + kSuspension;
  changed_ = true;
}

void WorkerTable::SetStrays(WorkerId worker, bool has_strays) {
  Entry* entry = Find(worker);
  if (entry == nullptr) return;
  changed_ |= entry->strays != has_strays;
  entry->strays = has_strays;
}

std::optional<configuration::CellTopology> WorkerTable::TakeSchedulableTopology(
    TimePoint now) {
  for (auto& [id, entry] : entries_) {
    if (!entry.suspended_until || *entry.suspended_until > now) continue;
    entry.suspended_until.reset();
    changed_ = true;
  }
  if (!changed_) return std::nullopt;
  changed_ = false;
  configuration::CellTopology usable{cell_, {}};
  for (const WorkerId id : order_) {
    const Entry& entry = entries_.at(id);
    configuration::Worker worker = entry.worker;
    const bool blocked = !entry.reported || entry.leaving || entry.strays ||
                         entry.suspended_until;
    if (blocked && worker.state == configuration::MachineState::kLive) {
      worker.state = configuration::MachineState::kLeaving;
    }
    usable.workers.push_back(std::move(worker));
  }
  return usable;
}

std::vector<WorkerId> WorkerTable::TakeExpired(TimePoint now) {
  std::vector<WorkerId> expired;
  for (const auto& [id, entry] : entries_) {
    const auto since = entry.unlisted_since;
    if (since && now - *since >= lease_) expired.push_back(id);
  }
  for (const WorkerId id : expired) entries_.erase(id);
  return expired;
}

std::optional<TimePoint> WorkerTable::next_timer() const {
  std::optional<TimePoint> next;
  for (const auto& [id, entry] : entries_) {
    next = Earlier(next, entry.suspended_until);
    if (!entry.unlisted_since) continue;
    next = Earlier(next, *entry.unlisted_since + lease_);
  }
  return next;
}

bool WorkerTable::IsListed(WorkerId worker) const {
  const auto found = entries_.find(worker);
  return found != entries_.end() && found->second.listed;
}

bool WorkerTable::HasReported(WorkerId worker) const {
  const auto found = entries_.find(worker);
  return found != entries_.end() && found->second.reported;
}

bool WorkerTable::AllReported() const {
  return std::all_of(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry.second.reported ||
           entry.second.worker.state == configuration::MachineState::kGone;
  });
}

void WorkerTable::Occupy(const CallId& call,
                         const scheduling::Placement& placement) {
  for (const scheduling::Allocation& allocation : placement.parts) {
    Require(IsFree(allocation),
            "an accelerator is occupied by one call at a time");
    occupied_[allocation.worker].emplace(call, allocation.accelerators);
  }
}

void WorkerTable::Free(const CallId& call,
                       const scheduling::Placement& placement) {
  for (const scheduling::Allocation& allocation : placement.parts) {
    const auto worker = occupied_.find(allocation.worker);
    Require(worker != occupied_.end() && worker->second.erase(call) == 1,
            "only occupied accelerators are freed");
    if (worker->second.empty()) occupied_.erase(worker);
  }
}

bool WorkerTable::IsFree(const scheduling::Allocation& allocation) const {
  const auto worker = occupied_.find(allocation.worker);
  if (worker == occupied_.end()) return true;
  return std::none_of(worker->second.begin(), worker->second.end(),
                      [&](const auto& held) {
                        return (held.second & allocation.accelerators) != 0;
                      });
}

std::vector<CallId> WorkerTable::CallsOn(WorkerId worker) const {
  std::vector<CallId> calls;
  const auto found = occupied_.find(worker);
  if (found == occupied_.end()) return calls;
  for (const auto& [call, mask] : found->second) calls.push_back(call);
  return calls;
}

}  // namespace jasminespar::cell
