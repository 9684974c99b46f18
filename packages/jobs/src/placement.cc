#include "placement.h"

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

#include "pace_placement.h"

namespace jasminespar::jobs {

namespace {

/// An accelerator counts as 8 cores when room is compared.
constexpr std::int64_t kMillicoresPerAccelerator = 8'000;

std::int64_t WeightOf(const Resources& room) noexcept {
  return room.accelerators * kMillicoresPerAccelerator + room.cpu_millicores;
}

std::uint32_t TasksOfStepOn(const WorkerState& worker, const JobState& job,
                            const StepState& step) {
  std::uint32_t count = 0;
  for (const auto& [task, placed] : worker.placed_runs) {
    if (task.job == job.job.id && task.occurrence == step.occurrence &&
        task.step == step.step) {
      ++count;
    }
  }
  return count;
}

using Group = std::vector<Candidate>;

/// Fills the workers with the least room first.
/// @return a worker for each task; empty if they do not all fit.
std::vector<WorkerState*> FillFullestFirst(Group group, const Resources& need,
                                           std::uint32_t tasks) {
  std::stable_sort(group.begin(), group.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return WeightOf(a.room) < WeightOf(b.room);
                   });
  std::vector<WorkerState*> chosen;
  for (const Candidate& candidate : group) {
    std::uint32_t fitting = CountFitting(need, candidate.room, candidate.limit);
    while (fitting-- > 0 && chosen.size() < tasks) {
      chosen.push_back(candidate.worker);
    }
  }
  if (chosen.size() < tasks) chosen.clear();
  return chosen;
}

std::uint32_t CountFitting(const Group& group, const Resources& need) {
  std::uint32_t total = 0;
  for (const Candidate& candidate : group) {
    total += CountFitting(need, candidate.room, candidate.limit);
  }
  return total;
}

std::map<std::string, Group> GroupByRack(
    const std::vector<Candidate>& candidates) {
  std::map<std::string, Group> racks;
  for (const Candidate& candidate : candidates) {
    racks[candidate.worker->entry.rack].push_back(candidate);
  }
  return racks;
}

}  // namespace

Resources NeedOf(const StepSpec& spec) noexcept {
  Resources need = spec.need;
  if (spec.fills) need.cpu_millicores = 0;
  return need;
}

std::uint32_t CountFitting(const Resources& need, const Resources& room,
                           std::uint32_t limit) noexcept {
  const auto bound = [](std::int64_t need, std::int64_t room) {
    if (room < 0) return need > 0 ? std::int64_t{0} : std::int64_t{1} << 20;
    return need > 0 ? room / need : std::int64_t{1} << 20;
  };
  const std::int64_t fitting =
      std::min({bound(need.cpu_millicores, room.cpu_millicores),
                bound(need.memory_mb, room.memory_mb),
                bound(need.accelerators, room.accelerators),
                static_cast<std::int64_t>(limit)});
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, fitting));
}

std::vector<WorkerState*> UsableWorkers(WorkerMap& workers, TimePoint now) {
  std::vector<WorkerState*> usable;
  for (auto& [name, worker] : workers) {
    if (IsUsable(worker, now)) usable.push_back(&worker);
  }
  return usable;
}

std::vector<Candidate> CandidatesFor(std::span<WorkerState* const> usable,
                                     const JobState& job, const StepState& step,
                                     TimePoint now) {
  const StepSpec& spec = job.SpecOf(step);
  std::vector<Candidate> candidates;
  for (WorkerState* worker : usable) {
    if (!IsSuited(*worker, spec, job.queue.service)) continue;
    Candidate candidate{worker, worker->room(),
                        std::numeric_limits<std::uint32_t>::max(),
                        now < worker->cold_until};
    if (spec.max_tasks_per_worker > 0) {
      const std::uint32_t present = TasksOfStepOn(*worker, job, step);
      candidate.limit = spec.max_tasks_per_worker -
                        std::min(spec.max_tasks_per_worker, present);
    }
    if (candidate.limit > 0) candidates.push_back(candidate);
  }
  return candidates;
}

std::vector<WorkerState*> PlaceGang(const std::vector<Candidate>& suited,
                                    const PlacementRequest& request) {
  std::vector<Candidate> candidates = suited;
  const StepSpec& spec = *request.spec;
  const Resources need = NeedOf(spec);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return CountFitting(need, candidate.room, candidate.limit) == 0;
  });
  std::map<std::string, Group> racks = GroupByRack(candidates);
  if (!spec.preferred_rack.empty()) {
    const Group& home = racks[spec.preferred_rack];
    if (CountFitting(home, need) >= request.tasks) {
      return FillFullestFirst(home, need, request.tasks);
    }
    if (!request.other_racks_allowed) return {};
  }
  // Choose the rack with the least room that fits the whole gang, so that the
  // others keep theirs for larger gangs.
  const Group* best = nullptr;
  std::uint32_t best_count = std::numeric_limits<std::uint32_t>::max();
  for (const auto& [rack, group] : racks) {
    const std::uint32_t count = CountFitting(group, need);
    if (count < request.tasks || count >= best_count) continue;
    best = &group;
    best_count = count;
  }
  if (best != nullptr) return FillFullestFirst(*best, need, request.tasks);
  if (spec.prefers_one_rack && !request.other_racks_allowed) return {};
  return FillFullestFirst(std::move(candidates), need, request.tasks);
}

std::vector<WorkerState*> PlaceGangWarmFirst(
    const std::vector<Candidate>& candidates, const PlacementRequest& request,
    GangPlacer place) {
  std::vector<Candidate> warm = candidates;
  std::erase_if(warm, [](const Candidate& each) { return each.cold; });
  if (warm.size() < candidates.size()) {
    std::vector<WorkerState*> chosen = place(warm, request);
    if (!chosen.empty()) return chosen;
  }
  return place(candidates, request);
}

WorkerState* PlaceTask(std::span<Candidate> candidates,
                       const PlacementRequest& request) {
  const StepSpec& spec = *request.spec;
  const Resources need = NeedOf(spec);
  Candidate* best = nullptr;
  auto best_key = std::tuple<int, std::int64_t, int>{};
  for (Candidate& candidate : candidates) {
    if (CountFitting(need, candidate.room, candidate.limit) == 0) continue;
    const bool home = spec.preferred_rack.empty() ||
                      candidate.worker->entry.rack == spec.preferred_rack;
    if (!home && !request.other_racks_allowed) continue;
    const bool avoided = candidate.worker->entry.name == request.avoid;
    const int rank =
        (avoided ? 4 : 0) + (candidate.cold ? 2 : 0) + (home ? 0 : 1);
    const std::tuple key{rank, WeightOf(candidate.room),
                         PaceRank(*candidate.worker, request.pace)};
    if (best != nullptr && best_key <= key) continue;
    best = &candidate;
    best_key = key;
  }
  if (best == nullptr) return nullptr;
  best->room -= need;
  --best->limit;
  return best->worker;
}

}  // namespace jasminespar::jobs
