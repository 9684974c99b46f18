/// @file
/// Changes of an Allocator from outside: topology, health, guarantees; and the
/// full check of its state.

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

#include "jasminespar/scheduling/allocator.h"
#include "jasminespar/scheduling/invariant.h"

namespace jasminespar::scheduling {
namespace {

bool SameWorkers(const CellTree& before, const CellTree& after) {
  if (before.workers().size() != after.workers().size()) return false;
  for (std::size_t i = 0; i < before.workers().size(); ++i) {
    const TreeWorker& a = before.workers()[i];
    const TreeWorker& b = after.workers()[i];
    if (a.id != b.id || a.size != b.size ||
        before.racks()[a.rack].number != after.racks()[b.rack].number) {
      return false;
    }
  }
  return true;
}

/// Adds the workers that are gone from the list but still hold gangs.
configuration::CellTopology WithHeldWorkers(
    configuration::CellTopology topology, const CellTree& before) {
  const CellTree listed(topology);
  for (const TreeWorker& worker : before.workers()) {
    if (worker.held == 0 || listed.Find(worker.id)) continue;
    configuration::Worker kept;
    kept.id = worker.id;
    kept.rack = before.racks()[worker.rack].number;
    kept.accelerators = worker.size;
    kept.state = configuration::MachineState::kGone;
    topology.workers.push_back(kept);
  }
  return topology;
}

/// @return the place of a bound shape in another tree, if it is still there.
std::optional<Subtree> Translate(const Subtree& place, const CellTree& before,
                                 const CellTree& after) {
  const auto begin = after.Find(before.workers()[place.begin].id);
  if (!begin) return std::nullopt;
  if (place.level != ShapeLevel::kRack) {
    return Subtree{place.level, *begin, *begin + 1, place.mask};
  }
  const TreeRack& rack = after.racks()[after.workers()[*begin].rack];
  if (rack.end - rack.begin != after.rack_size()) return std::nullopt;
  return Subtree{place.level, rack.begin, rack.end, place.mask};
}

bool AnyWorse(const LevelCounts& before, const LevelCounts& after) {
  for (std::size_t i = 0; i < kLevels; ++i) {
    if (after[i] > before[i]) return true;
  }
  return false;
}

}  // namespace

bool Allocator::HasUnusable(const std::vector<Part>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [&](const Part& part) {
    return !tree_.workers()[part.worker].usable();
  });
}

std::vector<JobIndex> Allocator::GiveUpUnusable() {
  std::vector<JobIndex> returned;
  for (JobIndex job = 0; job < gangs_.size(); ++job) {
    if (gangs_[job].state != GangState::kClaiming) continue;
    if (!HasUnusable(gangs_[job].parts)) continue;
    Release(job);
    returned.push_back(job);
  }
  return returned;
}

std::vector<JobIndex> Allocator::ApplyTopology(
    const configuration::CellTopology& topology) {
  const configuration::CellTopology kept = WithHeldWorkers(topology, tree_);
  const CellTree next(kept);
  std::vector<JobIndex> returned;
  if (SameWorkers(tree_, next)) {
    for (WorkerIndex w = 0; w < next.workers().size(); ++w) {
      const bool live = next.workers()[w].live;
      if (tree_.workers()[w].live == live) continue;
      tree_.Update(w, [&](TreeWorker& worker) { worker.live = live; });
    }
    returned = GiveUpUnusable();
  } else {
    for (JobIndex job = 0; job < gangs_.size(); ++job) {
      if (gangs_[job].state != GangState::kClaiming) continue;
      Release(job);
      returned.push_back(job);
    }
    Rebuild(kept);
  }
  DissolveDamaged();
  clusters_.AcceptDeficit(tree_);
  return returned;
}

void Allocator::Rebuild(const configuration::CellTopology& topology) {
  ClearReserved();
  CellTree next(topology);
  for (const TreeWorker& old : tree_.workers()) {
    if (const auto index = next.Find(old.id); index && old.quarantined) {
      next.Update(*index,
                  [](TreeWorker& worker) { worker.quarantined = true; });
    }
  }
  Cells holder(CellOf(static_cast<WorkerIndex>(next.workers().size()), 0),
               kNoJob);
  for (JobIndex job = 0; job < gangs_.size(); ++job) {
    Gang& gang = gangs_[job];
    for (Part& part : gang.parts) {
      part.worker = *next.Find(tree_.workers()[part.worker].id);
      next.Update(part.worker, [&](TreeWorker& worker) {
        worker.held |= part.mask;
        if (gang.hold != HoldClass::kBorrowed) worker.firm |= part.mask;
      });
      for (std::uint64_t m = part.mask; m != 0; m &= m - 1) {
        holder[CellOf(part.worker, std::countr_zero(m))] = job;
      }
    }
  }
  std::vector<BindingId> lost;
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    for (const BindingId id : clusters_.cluster(a).bindings) {
      const Subtree place = clusters_.binding(id).place;
      if (const auto moved = Translate(place, tree_, next)) {
        clusters_.Rebase(next, id, *moved);
      } else {
        clusters_.Rebase(next, id, Subtree{place.level, 0, 0, 0});
        lost.push_back(id);
      }
    }
  }
  tree_ = std::move(next);
  holder_ = std::move(holder);
  claimer_.assign(holder_.size(), kNoJob);
  for (const BindingId id : lost) {
    DropUses(id, false);
    clusters_.Dissolve(tree_, id);
  }
  clusters_.Recount(tree_);
}

std::vector<JobIndex> Allocator::SetQuarantined(WorkerIndex index,
                                                bool quarantined) {
  tree_.Update(index,
               [&](TreeWorker& worker) { worker.quarantined = quarantined; });
  std::vector<JobIndex> returned = GiveUpUnusable();
  DissolveDamaged();
  clusters_.AcceptDeficit(tree_);
  return returned;
}

bool Allocator::IsDamaged(BindingId id) const {
  const Subtree& place = clusters_.binding(id).place;
  for (WorkerIndex w = place.begin; w < place.end; ++w) {
    if (!tree_.workers()[w].usable()) return true;
  }
  return false;
}

LevelCounts Allocator::Missing() const {
  LevelCounts missing = clusters_.Deficit(tree_);
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    for (const BindingId id : clusters_.cluster(a).bindings) {
      const ShapeLevel level = clusters_.binding(id).place.level;
      if (IsDamaged(id)) ++missing[static_cast<std::size_t>(level)];
    }
  }
  return missing;
}

/// Frees shapes that have lost a worker from it, where the rest of the cell
/// can replace them: so the loss is charged to slack first.
void Allocator::DissolveDamaged() {
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    const std::vector<BindingId> bindings = clusters_.cluster(a).bindings;
    for (const BindingId id : bindings) {
      if (!IsDamaged(id)) continue;
      const LevelCounts before = clusters_.Deficit(tree_);
      VirtualClusters tried = clusters_;
      CellTree tried_tree = tree_;
      tried.Dissolve(tried_tree, id);
      if (AnyWorse(before, tried.Deficit(tried_tree))) continue;
      DropUses(id, false);
      clusters_.Dissolve(tree_, id);
    }
  }
}

void Allocator::DropUses(BindingId binding, bool to_borrowed) {
  for (Gang& gang : gangs_) {
    const auto dropped = std::erase_if(gang.uses, [&](const BindingUse& use) {
      return use.binding == binding;
    });
    if (dropped == 0 || !to_borrowed) continue;
    if (!gang.uses.empty() || !gang.request.reclaimable) continue;
    gang.hold = HoldClass::kBorrowed;
    for (const Part& part : gang.parts) {
      tree_.Update(part.worker,
                   [&](TreeWorker& worker) { worker.firm &= ~part.mask; });
    }
  }
}

void Allocator::DissolveWithdrawn() {
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    const std::vector<BindingId> bindings = clusters_.cluster(a).bindings;
    for (const BindingId id : bindings) {
      const auto level =
          static_cast<std::size_t>(clusters_.binding(id).place.level);
      const VirtualCluster& cluster = clusters_.cluster(a);
      if (cluster.bound[level] <= cluster.guaranteed[level]) continue;
      DropUses(id, true);
      clusters_.Dissolve(tree_, id);
    }
  }
}

void Allocator::ApplyGuarantees(
    const std::vector<std::vector<configuration::Guarantee>>& guarantees) {
  const std::size_t accounts = std::max(guarantees.size(), clusters_.size());
  for (std::size_t a = 0; a < accounts; ++a) {
    clusters_.SetGuarantees(tree_, static_cast<AccountIndex>(a),
                            a < guarantees.size()
                                ? guarantees[a]
                                : std::vector<configuration::Guarantee>{});
  }
  DissolveWithdrawn();
  clusters_.AcceptDeficit(tree_);
}

void Allocator::CheckFully() const {
  Ensure(tree_.CountCover() == tree_.cover(), "cover counters drifted");
  VirtualClusters recounted = clusters_;
  recounted.Recount(tree_);
  Ensure(recounted.need() == clusters_.need(), "need counters drifted");
  Ensure(clusters_.Holds(tree_), "a guarantee has no cover");
  std::vector<std::uint64_t> held(tree_.workers().size());
  std::vector<std::uint64_t> firm(tree_.workers().size());
  for (JobIndex job = 0; job < gangs_.size(); ++job) {
    const Gang& gang = gangs_[job];
    if (gang.state == GangState::kNone) continue;
    std::uint32_t awaited = 0;
    for (const Part& part : gang.parts) {
      for (std::uint64_t m = part.mask; m != 0; m &= m - 1) {
        const std::uint64_t bit = m & (~m + 1);
        const std::size_t cell = CellOf(part.worker, std::countr_zero(m));
        if (holder_[cell] != job) {
          Ensure(claimer_[cell] == job, "gang neither holds nor claims");
          ++awaited;
          continue;
        }
        Ensure((held[part.worker] & bit) == 0, "accelerator held twice");
        held[part.worker] |= bit;
      }
      if (gang.hold != HoldClass::kBorrowed) firm[part.worker] |= part.mask;
    }
    Ensure(awaited == gang.awaited, "awaited accelerators drifted");
    Ensure(awaited == 0 || gang.state == GangState::kClaiming,
           "a gang runs on a part of its accelerators");
  }
  for (WorkerIndex w = 0; w < tree_.workers().size(); ++w) {
    Ensure(held[w] == tree_.workers()[w].held, "held masks drifted");
    Ensure(firm[w] == tree_.workers()[w].firm, "firm masks drifted");
  }
}

}  // namespace jasminespar::scheduling
