/// @file
/// Changes of an Allocator's topology, quarantined workers and guarantees, and
/// the full check of its state.

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

/// Adds the workers that are no longer listed but still hold gangs.
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

/// @return the place of a bound shape in another tree, or nothing if it no
///     longer exists there.
std::optional<Subtree> TranslatePlace(const Subtree& place,
                                      const CellTree& before,
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

bool AnyIncreased(const LevelCounts& before, const LevelCounts& after) {
  for (std::size_t i = 0; i < kShapeLevels; ++i) {
    if (after[i] > before[i]) return true;
  }
  return false;
}

}  // namespace

bool Allocator::HasUnusable(const std::vector<GangPart>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [&](const GangPart& part) {
    return !tree_.workers()[part.worker].usable();
  });
}

std::vector<JobIndex> Allocator::CancelUnusableClaims() {
  std::vector<JobIndex> cancelled_claims;
  for (JobIndex job = 0; job < gangs_.size(); ++job) {
    if (gangs_[job].state != GangState::kClaiming) continue;
    if (!HasUnusable(gangs_[job].parts)) continue;
    Release(job);
    cancelled_claims.push_back(job);
  }
  return cancelled_claims;
}

std::vector<JobIndex> Allocator::ApplyTopology(
    const configuration::CellTopology& topology) {
  const configuration::CellTopology kept = WithHeldWorkers(topology, tree_);
  const CellTree next(kept);
  std::vector<JobIndex> cancelled_claims;
  if (SameWorkers(tree_, next)) {
    for (WorkerIndex w = 0; w < next.workers().size(); ++w) {
      const bool live = next.workers()[w].live;
      if (tree_.workers()[w].live == live) continue;
      tree_.Update(w, [&](TreeWorker& worker) { worker.live = live; });
    }
    cancelled_claims = CancelUnusableClaims();
  } else {
    for (JobIndex job = 0; job < gangs_.size(); ++job) {
      if (gangs_[job].state != GangState::kClaiming) continue;
      Release(job);
      cancelled_claims.push_back(job);
    }
    Rebuild(kept);
  }
  UnbindDamaged();
  clusters_.AcceptDeficit(tree_);
  return cancelled_claims;
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
  JobPerAccelerator holder(
      IndexOf(static_cast<WorkerIndex>(next.workers().size()), 0), kNoJob);
  for (JobIndex job = 0; job < gangs_.size(); ++job) {
    Gang& gang = gangs_[job];
    for (GangPart& part : gang.parts) {
      part.worker = *next.Find(tree_.workers()[part.worker].id);
      next.Update(part.worker, [&](TreeWorker& worker) {
        worker.held |= part.mask;
        if (gang.hold != HoldClass::kBorrowed) {
          worker.nonreclaimable |= part.mask;
        }
      });
      for (std::uint64_t m = part.mask; m != 0; m &= m - 1) {
        holder[IndexOf(part.worker, std::countr_zero(m))] = job;
      }
    }
  }
  std::vector<BindingId> lost;
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    for (const BindingId id : clusters_.cluster(a).bindings) {
      const Subtree place = clusters_.binding(id).place;
      if (const auto moved = TranslatePlace(place, tree_, next)) {
        clusters_.MoveBinding(next, id, *moved);
      } else {
        clusters_.MoveBinding(next, id, Subtree{place.level, 0, 0, 0});
        lost.push_back(id);
      }
    }
  }
  tree_ = std::move(next);
  holder_ = std::move(holder);
  claimer_.assign(holder_.size(), kNoJob);
  for (const BindingId id : lost) {
    RemoveUses(id, false);
    clusters_.Unbind(tree_, id);
  }
  clusters_.Recount(tree_);
}

std::vector<JobIndex> Allocator::SetQuarantined(WorkerIndex index,
                                                bool quarantined) {
  tree_.Update(index,
               [&](TreeWorker& worker) { worker.quarantined = quarantined; });
  std::vector<JobIndex> cancelled_claims = CancelUnusableClaims();
  UnbindDamaged();
  clusters_.AcceptDeficit(tree_);
  return cancelled_claims;
}

bool Allocator::IsDamaged(BindingId id) const {
  const Subtree& place = clusters_.binding(id).place;
  for (WorkerIndex w = place.begin; w < place.end; ++w) {
    if (!tree_.workers()[w].usable()) return true;
  }
  return false;
}

LevelCounts Allocator::MissingShapes() const {
  LevelCounts missing = clusters_.Deficit(tree_);
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    for (const BindingId id : clusters_.cluster(a).bindings) {
      const ShapeLevel level = clusters_.binding(id).place.level;
      if (IsDamaged(id)) ++missing[static_cast<std::size_t>(level)];
    }
  }
  return missing;
}

/// Unbinds shapes with an unusable worker where the rest of the cell can
/// provide them instead. The loss thus uses up spare capacity before it causes
/// a deficit.
void Allocator::UnbindDamaged() {
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    const std::vector<BindingId> bindings = clusters_.cluster(a).bindings;
    for (const BindingId id : bindings) {
      if (!IsDamaged(id)) continue;
      const LevelCounts before = clusters_.Deficit(tree_);
      VirtualClusters trial = clusters_;
      CellTree trial_tree = tree_;
      trial.Unbind(trial_tree, id);
      if (AnyIncreased(before, trial.Deficit(trial_tree))) continue;
      RemoveUses(id, false);
      clusters_.Unbind(tree_, id);
    }
  }
}

void Allocator::RemoveUses(BindingId binding, bool to_borrowed) {
  for (Gang& gang : gangs_) {
    const auto dropped = std::erase_if(gang.uses, [&](const BindingUse& use) {
      return use.binding == binding;
    });
    if (dropped == 0 || !to_borrowed) continue;
    if (!gang.uses.empty() || !gang.request.reclaimable) continue;
    gang.hold = HoldClass::kBorrowed;
    for (const GangPart& part : gang.parts) {
      tree_.Update(part.worker, [&](TreeWorker& worker) {
        worker.nonreclaimable &= ~part.mask;
      });
    }
  }
}

void Allocator::UnbindWithdrawn() {
  for (AccountIndex a = 0; a < clusters_.size(); ++a) {
    const std::vector<BindingId> bindings = clusters_.cluster(a).bindings;
    for (const BindingId id : bindings) {
      const auto level =
          static_cast<std::size_t>(clusters_.binding(id).place.level);
      const VirtualCluster& cluster = clusters_.cluster(a);
      if (cluster.bound[level] <= cluster.guaranteed[level]) continue;
      RemoveUses(id, true);
      clusters_.Unbind(tree_, id);
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
  UnbindWithdrawn();
  clusters_.AcceptDeficit(tree_);
}

void Allocator::CheckFully() const {
  Ensure(tree_.CountBindable() == tree_.bindable(),
         "bindable counters differ from a recount");
  VirtualClusters recounted = clusters_;
  recounted.Recount(tree_);
  Ensure(recounted.need() == clusters_.need(),
         "need counters differ from a recount");
  Ensure(clusters_.IsFeasible(tree_),
         "feasibility rule of guarantees is broken");
  std::vector<std::uint64_t> held(tree_.workers().size());
  std::vector<std::uint64_t> nonreclaimable(tree_.workers().size());
  for (JobIndex job = 0; job < gangs_.size(); ++job) {
    const Gang& gang = gangs_[job];
    if (gang.state == GangState::kNone) continue;
    std::uint32_t pending_accelerators = 0;
    for (const GangPart& part : gang.parts) {
      for (std::uint64_t m = part.mask; m != 0; m &= m - 1) {
        const std::uint64_t bit = m & (~m + 1);
        const std::size_t index = IndexOf(part.worker, std::countr_zero(m));
        if (holder_[index] != job) {
          Ensure(claimer_[index] == job,
                 "gang neither holds nor claims an accelerator");
          ++pending_accelerators;
          continue;
        }
        Ensure((held[part.worker] & bit) == 0, "accelerator held twice");
        held[part.worker] |= bit;
      }
      if (gang.hold != HoldClass::kBorrowed) {
        nonreclaimable[part.worker] |= part.mask;
      }
    }
    Ensure(pending_accelerators == gang.pending_accelerators,
           "pending accelerators differ from a recount");
    Ensure(pending_accelerators == 0 || gang.state == GangState::kClaiming,
           "gang runs on a part of its accelerators");
  }
  for (WorkerIndex w = 0; w < tree_.workers().size(); ++w) {
    Ensure(held[w] == tree_.workers()[w].held,
           "held masks differ from a recount");
    Ensure(nonreclaimable[w] == tree_.workers()[w].nonreclaimable,
           "masks of guaranteed and firm gangs differ from a recount");
  }
}

}  // namespace jasminespar::scheduling
