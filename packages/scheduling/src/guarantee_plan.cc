#include "jasminespar/scheduling/guarantee_plan.h"

#include <algorithm>
#include <bit>
#include <limits>

#include "jasminespar/scheduling/placement.h"

namespace jasminespar::scheduling {
namespace {

/// Placement inside guaranteed shapes does not depend on the configured policy.
const PlacementPolicy kShapePlacement = BestFit{};

constexpr std::size_t IndexOf(ShapeLevel level) {
  return static_cast<std::size_t>(level);
}

/// @return what the owner of a bound shape can take there on one worker.
Candidate CandidateOn(const CellTree& tree, WorkerIndex index,
                      std::uint64_t mask, ReclaimRule rule) {
  const TreeWorker& worker = tree.workers()[index];
  const std::uint64_t free = worker.free() & mask;
  if (rule == ReclaimRule::kFreeOnly || !worker.usable()) {
    return {index, free, free};
  }
  return {index, worker.all & mask & ~worker.nonreclaimable & ~worker.claimed,
          free};
}

Candidates CandidatesIn(const CellTree& tree, const Subtree& place,
                        ReclaimRule rule) {
  Candidates candidates;
  for (WorkerIndex w = place.begin; w < place.end; ++w) {
    const Candidate candidate = CandidateOn(tree, w, place.mask, rule);
    if (candidate.eligible != 0) candidates.push_back(candidate);
  }
  return candidates;
}

int CountEligible(const Candidates& candidates) {
  int count = 0;
  for (const Candidate& candidate : candidates) {
    count += std::popcount(candidate.eligible);
  }
  return count;
}

int CountFree(const CellTree& tree, const std::vector<GangPart>& parts) {
  int count = 0;
  for (const GangPart& part : parts) {
    count += std::popcount(part.mask & tree.workers()[part.worker].free());
  }
  return count;
}

/// Search for the cheapest place at which to bind a shape: fewest reclaims,
/// then the smallest whole subtrees split, then the fewest eligible
/// accelerators.
struct PlaceSearch {
  const CellTree& tree;
  const VirtualClusters& clusters;
  ReclaimRule rule;
  int count;
  std::optional<Subtree> best;
  std::uint64_t best_cost = std::numeric_limits<std::uint64_t>::max();

  /// Makes the place the best one if it costs less and binding there keeps the
  /// feasibility rule.
  /// @param enclosing_whole bit i is set if the enclosing subtree of level i is
  ///     wholly bindable.
  /// @param eligible number of accelerators that the gang can take there.
  /// @param free how many of them are free.
  void Consider(const Subtree& place, std::uint64_t enclosing_whole,
                int eligible, int free) {
    if (eligible < count) return;
    const auto reclaims = static_cast<std::uint64_t>(std::max(0, count - free));
    const std::uint64_t cost = reclaims << 32U | enclosing_whole << 16U |
                               static_cast<std::uint64_t>(eligible);
    if (cost >= best_cost) return;
    for (std::size_t i = IndexOf(place.level) + 1; i < kShapeLevels; ++i) {
      const bool whole = (enclosing_whole >> i & 1U) != 0;
      if (whole && !clusters.MaySplit(tree, static_cast<ShapeLevel>(i))) return;
    }
    best_cost = cost;
    best = place;
  }
};

constexpr std::uint64_t LevelBit(ShapeLevel level, bool set) {
  return set ? 1ULL << IndexOf(level) : 0;
}

/// Considers the aligned blocks of 1, 2 or 4 accelerators on one worker.
void ConsiderBlocks(PlaceSearch& search, WorkerIndex index, ShapeLevel level) {
  const CellTree& tree = search.tree;
  const TreeWorker& worker = tree.workers()[index];
  const std::uint64_t bindable = worker.bindable();
  const std::uint64_t pairs = PairsOf(bindable) * 0x3;
  const std::uint64_t quads = QuadsOf(bindable) * 0xF;
  const bool whole = bindable == worker.all && tree.IsFullWorker(index);
  const std::uint64_t above =
      LevelBit(ShapeLevel::kWorker, whole) |
      LevelBit(ShapeLevel::kRack,
               whole && tree.IsFullyBindable(tree.racks()[worker.rack]));
  const int size = 1 << IndexOf(level);
  for (int at = 0; at + size <= worker.size; at += size) {
    const std::uint64_t mask = LowBits(size) << static_cast<unsigned>(at);
    if ((bindable & mask) != mask) continue;
    const std::uint64_t inside =
        LevelBit(ShapeLevel::kPair, (pairs & mask) != 0) |
        LevelBit(ShapeLevel::kQuad, (quads & mask) != 0);
    const Candidate candidate = CandidateOn(tree, index, mask, search.rule);
    search.Consider(Subtree{level, index, index + 1, mask}, above | inside,
                    std::popcount(candidate.eligible),
                    std::popcount(candidate.free));
  }
}

void ConsiderWorker(PlaceSearch& search, WorkerIndex index) {
  const CellTree& tree = search.tree;
  const TreeWorker& worker = tree.workers()[index];
  if (worker.bindable() != worker.all || !tree.IsFullWorker(index)) return;
  const Candidate candidate = CandidateOn(tree, index, worker.all, search.rule);
  search.Consider(Subtree{ShapeLevel::kWorker, index, index + 1, worker.all},
                  LevelBit(ShapeLevel::kRack,
                           tree.IsFullyBindable(tree.racks()[worker.rack])),
                  std::popcount(candidate.eligible),
                  std::popcount(candidate.free));
}

void ConsiderRack(PlaceSearch& search, const TreeRack& rack,
                  Adjacency adjacency) {
  if (!search.tree.IsFullyBindable(rack)) return;
  int eligible = 0;
  int free = 0;
  for (WorkerIndex w = rack.begin; w < rack.end; ++w) {
    const Candidate candidate = CandidateOn(search.tree, w, ~0ULL, search.rule);
    const int on_worker = std::popcount(candidate.eligible);
    if (adjacency == Adjacency::kWorker) {
      eligible = std::max(eligible, on_worker);
      free = std::max(free, std::popcount(candidate.free));
    } else {
      eligible += on_worker;
      free += std::popcount(candidate.free);
    }
  }
  search.Consider(Subtree{ShapeLevel::kRack, rack.begin, rack.end, ~0ULL}, 0,
                  eligible, free);
}

/// @return a place at which the account may bind one shape of that level and
///     take `count` accelerators for a gang.
std::optional<Subtree> FindPlace(const CellTree& tree,
                                 const VirtualClusters& clusters,
                                 ShapeLevel level, int count,
                                 Adjacency adjacency, ReclaimRule rule) {
  PlaceSearch search{tree, clusters, rule, count, std::nullopt};
  if (level == ShapeLevel::kRack) {
    for (const TreeRack& rack : tree.racks()) {
      ConsiderRack(search, rack, adjacency);
    }
    return search.best;
  }
  for (WorkerIndex w = 0; w < tree.workers().size(); ++w) {
    if (!tree.workers()[w].usable()) continue;
    if (level == ShapeLevel::kWorker) {
      ConsiderWorker(search, w);
    } else {
      ConsiderBlocks(search, w, level);
    }
  }
  return search.best;
}

std::optional<GuaranteePlan> PlanInBoundShape(const CellTree& tree,
                                              VirtualClusters& clusters,
                                              AccountIndex account,
                                              const GangShape& shape,
                                              ReclaimRule rule) {
  std::optional<GuaranteePlan> best;
  int best_free = -1;
  int best_eligible = 0;
  for (const BindingId id : clusters.cluster(account).bindings) {
    const Candidates candidates =
        CandidatesIn(tree, clusters.binding(id).place, rule);
    const int eligible = CountEligible(candidates);
    if (eligible < shape.accelerators) continue;
    auto parts = FindPlacement(kShapePlacement, tree, candidates, shape);
    if (!parts) continue;
    const int free = CountFree(tree, *parts);
    if (free < best_free || (free == best_free && eligible >= best_eligible)) {
      continue;
    }
    best_free = free;
    best_eligible = eligible;
    best =
        GuaranteePlan{std::move(*parts),
                      {{id, static_cast<std::uint32_t>(shape.accelerators)}}};
  }
  if (best) {
    clusters.AddUse(best->uses[0].binding, best->uses[0].accelerators);
  }
  return best;
}

std::optional<GuaranteePlan> PlanInNewShape(CellTree& tree,
                                            VirtualClusters& clusters,
                                            AccountIndex account,
                                            const GangShape& shape,
                                            ReclaimRule rule) {
  const VirtualCluster& cluster = clusters.cluster(account);
  for (std::size_t i = 0; i < kShapeLevels; ++i) {
    const auto level = static_cast<ShapeLevel>(i);
    if (cluster.Unbound(level) == 0) continue;
    if (tree.SubtreesWithin(level, ShapeLevel::kAccelerator) <
        shape.accelerators) {
      continue;
    }
    const auto place = FindPlace(tree, clusters, level, shape.accelerators,
                                 shape.adjacency, rule);
    if (!place) continue;
    auto parts = FindPlacement(kShapePlacement, tree,
                               CandidatesIn(tree, *place, rule), shape);
    if (!parts) continue;
    const BindingId id = clusters.Bind(tree, account, *place);
    const auto count = static_cast<std::uint32_t>(shape.accelerators);
    clusters.AddUse(id, count);
    return GuaranteePlan{std::move(*parts), {{id, count}}};
  }
  return std::nullopt;
}

/// Adds up to `remaining` accelerators of a bound shape to the plan and
/// subtracts them from `remaining`.
void AddFromBinding(const CellTree& tree, VirtualClusters& clusters,
                    BindingId id, ReclaimRule rule, int& remaining,
                    GuaranteePlan& plan) {
  const Candidates candidates =
      CandidatesIn(tree, clusters.binding(id).place, rule);
  const int taken = std::min(remaining, CountEligible(candidates));
  if (taken == 0) return;
  const auto parts = FindPlacement(kShapePlacement, tree, candidates,
                                   GangShape{taken, Adjacency::kAny});
  if (!parts) return;
  plan.parts.insert(plan.parts.end(), parts->begin(), parts->end());
  const auto count = static_cast<std::uint32_t>(taken);
  clusters.AddUse(id, count);
  plan.uses.push_back({id, count});
  remaining -= taken;
}

/// Binds the smallest unbound shape that can hold the remaining accelerators,
/// or else the largest, and adds its accelerators to the plan.
/// @return false if no shape could be bound.
bool BindNextShape(CellTree& tree, VirtualClusters& clusters,
                   AccountIndex account, ReclaimRule rule, int& remaining,
                   GuaranteePlan& plan) {
  const VirtualCluster& cluster = clusters.cluster(account);
  std::optional<ShapeLevel> chosen;
  for (std::size_t i = 0; i < kShapeLevels; ++i) {
    const auto level = static_cast<ShapeLevel>(i);
    if (cluster.Unbound(level) == 0) continue;
    chosen = level;
    if (tree.SubtreesWithin(level, ShapeLevel::kAccelerator) >= remaining) {
      break;
    }
  }
  if (!chosen) return false;
  const auto size =
      static_cast<int>(tree.SubtreesWithin(*chosen, ShapeLevel::kAccelerator));
  const auto place =
      FindPlace(tree, clusters, *chosen, std::min(remaining, size),
                Adjacency::kAny, rule);
  if (!place) return false;
  const BindingId id = clusters.Bind(tree, account, *place);
  AddFromBinding(tree, clusters, id, rule, remaining, plan);
  return true;
}

std::optional<GuaranteePlan> PlanInSeveralShapes(CellTree& tree,
                                                 VirtualClusters& clusters,
                                                 AccountIndex account,
                                                 int count, ReclaimRule rule) {
  GuaranteePlan plan;
  int remaining = count;
  const std::vector<BindingId> bound = clusters.cluster(account).bindings;
  for (const BindingId id : bound) {
    if (remaining > 0) {
      AddFromBinding(tree, clusters, id, rule, remaining, plan);
    }
  }
  while (remaining > 0 &&
         BindNextShape(tree, clusters, account, rule, remaining, plan)) {
  }
  if (remaining == 0) {
    plan.parts = MergeParts(std::move(plan.parts));
    return plan;
  }
  for (const BindingUse& use : plan.uses) {
    clusters.RemoveUse(tree, use.binding, use.accelerators);
  }
  return std::nullopt;
}

}  // namespace

std::optional<GuaranteePlan> PlanInGuarantee(CellTree& tree,
                                             VirtualClusters& clusters,
                                             AccountIndex account,
                                             const GangShape& shape,
                                             ReclaimRule rule) {
  if (auto plan = PlanInBoundShape(tree, clusters, account, shape, rule)) {
    return plan;
  }
  if (auto plan = PlanInNewShape(tree, clusters, account, shape, rule)) {
    return plan;
  }
  if (shape.adjacency != Adjacency::kAny) return std::nullopt;
  return PlanInSeveralShapes(tree, clusters, account, shape.accelerators, rule);
}

}  // namespace jasminespar::scheduling
