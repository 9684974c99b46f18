#include "jasminespar/scheduling/guarantee_plan.h"

#include <algorithm>
#include <bit>
#include <limits>

#include "jasminespar/scheduling/placement.h"

namespace jasminespar::scheduling {
namespace {

/// Shapes are chosen by this package's own rule under every policy.
const PlacementPolicy kTightest = BestFit{};

constexpr std::size_t IndexOf(ShapeLevel level) {
  return static_cast<std::size_t>(level);
}

/// What the owner of a bound shape can take there on one worker.
Candidate RoomOn(const CellTree& tree, WorkerIndex index, std::uint64_t mask,
                 ReclaimRule rule) {
  const TreeWorker& worker = tree.workers()[index];
  const std::uint64_t free = worker.free() & mask;
  if (rule == ReclaimRule::kFreeOnly || !worker.usable()) {
    return {index, free, free};
  }
  return {index, worker.all & mask & ~worker.firm & ~worker.claimed, free};
}

Candidates RoomIn(const CellTree& tree, const Subtree& place,
                  ReclaimRule rule) {
  Candidates room;
  for (WorkerIndex w = place.begin; w < place.end; ++w) {
    const Candidate candidate = RoomOn(tree, w, place.mask, rule);
    if (candidate.eligible != 0) room.push_back(candidate);
  }
  return room;
}

int CountEligible(const Candidates& candidates) {
  int count = 0;
  for (const Candidate& candidate : candidates) {
    count += std::popcount(candidate.eligible);
  }
  return count;
}

int CountFree(const CellTree& tree, const std::vector<Part>& parts) {
  int count = 0;
  for (const Part& part : parts) {
    count += std::popcount(part.mask & tree.workers()[part.worker].free());
  }
  return count;
}

/// Best new place found so far for a shape.
struct PlaceSearch {
  const CellTree& tree;
  const VirtualClusters& clusters;
  ReclaimRule rule;
  int count;
  std::optional<Subtree> best;
  std::uint64_t best_cost = std::numeric_limits<std::uint64_t>::max();

  /// @param whole_above bit i: the enclosing subtree of level i is whole.
  /// @param room accelerators that the gang can have there.
  /// @param free those of them that are free.
  void Offer(const Subtree& place, std::uint64_t whole_above, int room,
             int free) {
    if (room < count) return;
    const auto reclaims = static_cast<std::uint64_t>(std::max(0, count - free));
    const std::uint64_t cost =
        reclaims << 32U | whole_above << 16U | static_cast<std::uint64_t>(room);
    if (cost >= best_cost) return;
    for (std::size_t i = IndexOf(place.level) + 1; i < kLevels; ++i) {
      const bool whole = (whole_above >> i & 1U) != 0;
      if (whole && !clusters.MaySplit(tree, static_cast<ShapeLevel>(i))) return;
    }
    best_cost = cost;
    best = place;
  }
};

constexpr std::uint64_t LevelBit(ShapeLevel level, bool set) {
  return set ? 1ULL << IndexOf(level) : 0;
}

/// Offers the blocks of 1, 2 or 4 accelerators on one worker.
void OfferBlocks(PlaceSearch& search, WorkerIndex index, ShapeLevel level) {
  const CellTree& tree = search.tree;
  const TreeWorker& worker = tree.workers()[index];
  const std::uint64_t cover = worker.cover();
  const std::uint64_t pairs = PairsOf(cover) * 0x3;
  const std::uint64_t quads = QuadsOf(cover) * 0xF;
  const bool whole = cover == worker.all && tree.IsFullWorker(index);
  const std::uint64_t above =
      LevelBit(ShapeLevel::kWorker, whole) |
      LevelBit(ShapeLevel::kRack,
               whole && tree.IsWholeCover(tree.racks()[worker.rack]));
  const int size = 1 << IndexOf(level);
  for (int at = 0; at + size <= worker.size; at += size) {
    const std::uint64_t mask = LowBits(size) << static_cast<unsigned>(at);
    if ((cover & mask) != mask) continue;
    const std::uint64_t inside =
        LevelBit(ShapeLevel::kPair, (pairs & mask) != 0) |
        LevelBit(ShapeLevel::kQuad, (quads & mask) != 0);
    const Candidate room = RoomOn(tree, index, mask, search.rule);
    search.Offer(Subtree{level, index, index + 1, mask}, above | inside,
                 std::popcount(room.eligible), std::popcount(room.free));
  }
}

void OfferWorker(PlaceSearch& search, WorkerIndex index) {
  const CellTree& tree = search.tree;
  const TreeWorker& worker = tree.workers()[index];
  if (worker.cover() != worker.all || !tree.IsFullWorker(index)) return;
  const Candidate room = RoomOn(tree, index, worker.all, search.rule);
  search.Offer(
      Subtree{ShapeLevel::kWorker, index, index + 1, worker.all},
      LevelBit(ShapeLevel::kRack, tree.IsWholeCover(tree.racks()[worker.rack])),
      std::popcount(room.eligible), std::popcount(room.free));
}

void OfferRack(PlaceSearch& search, const TreeRack& rack, Adjacency adjacency) {
  if (!search.tree.IsWholeCover(rack)) return;
  int room = 0;
  int free = 0;
  for (WorkerIndex w = rack.begin; w < rack.end; ++w) {
    const Candidate on = RoomOn(search.tree, w, ~0ULL, search.rule);
    const int eligible = std::popcount(on.eligible);
    if (adjacency == Adjacency::kWorker) {
      room = std::max(room, eligible);
      free = std::max(free, std::popcount(on.free));
    } else {
      room += eligible;
      free += std::popcount(on.free);
    }
  }
  search.Offer(Subtree{ShapeLevel::kRack, rack.begin, rack.end, ~0ULL}, 0, room,
               free);
}

/// @return a place at which the account may bind one shape of that level with
///     room for `count` accelerators of a gang.
std::optional<Subtree> FindPlace(const CellTree& tree,
                                 const VirtualClusters& clusters,
                                 ShapeLevel level, int count,
                                 Adjacency adjacency, ReclaimRule rule) {
  PlaceSearch search{tree, clusters, rule, count, std::nullopt};
  if (level == ShapeLevel::kRack) {
    for (const TreeRack& rack : tree.racks()) {
      OfferRack(search, rack, adjacency);
    }
    return search.best;
  }
  for (WorkerIndex w = 0; w < tree.workers().size(); ++w) {
    if (!tree.workers()[w].usable()) continue;
    if (level == ShapeLevel::kWorker) {
      OfferWorker(search, w);
    } else {
      OfferBlocks(search, w, level);
    }
  }
  return search.best;
}

std::optional<GuaranteePlan> InBoundShape(const CellTree& tree,
                                          VirtualClusters& clusters,
                                          AccountIndex account,
                                          const GangShape& shape,
                                          ReclaimRule rule) {
  std::optional<GuaranteePlan> best;
  int best_free = -1;
  int best_room = 0;
  for (const BindingId id : clusters.cluster(account).bindings) {
    const Candidates room = RoomIn(tree, clusters.binding(id).place, rule);
    const int eligible = CountEligible(room);
    if (eligible < shape.accelerators) continue;
    auto parts = FindPlacement(kTightest, tree, room, shape);
    if (!parts) continue;
    const int free = CountFree(tree, *parts);
    if (free < best_free || (free == best_free && eligible >= best_room)) {
      continue;
    }
    best_free = free;
    best_room = eligible;
    best =
        GuaranteePlan{std::move(*parts),
                      {{id, static_cast<std::uint32_t>(shape.accelerators)}}};
  }
  if (best) {
    clusters.Use(best->uses[0].binding, best->uses[0].accelerators);
  }
  return best;
}

std::optional<GuaranteePlan> InNewShape(CellTree& tree,
                                        VirtualClusters& clusters,
                                        AccountIndex account,
                                        const GangShape& shape,
                                        ReclaimRule rule) {
  const VirtualCluster& cluster = clusters.cluster(account);
  for (std::size_t i = 0; i < kLevels; ++i) {
    const auto level = static_cast<ShapeLevel>(i);
    if (cluster.Unbound(level) == 0) continue;
    if (tree.Ratio(level, ShapeLevel::kAccelerator) < shape.accelerators) {
      continue;
    }
    const auto place = FindPlace(tree, clusters, level, shape.accelerators,
                                 shape.adjacency, rule);
    if (!place) continue;
    auto parts =
        FindPlacement(kTightest, tree, RoomIn(tree, *place, rule), shape);
    if (!parts) continue;
    const BindingId id = clusters.Bind(tree, account, *place);
    const auto count = static_cast<std::uint32_t>(shape.accelerators);
    clusters.Use(id, count);
    return GuaranteePlan{std::move(*parts), {{id, count}}};
  }
  return std::nullopt;
}

/// Takes up to `left` accelerators of a bound shape into the plan.
void TakeFrom(const CellTree& tree, VirtualClusters& clusters, BindingId id,
              ReclaimRule rule, int& left, GuaranteePlan& plan) {
  const Candidates room = RoomIn(tree, clusters.binding(id).place, rule);
  const int taken = std::min(left, CountEligible(room));
  if (taken == 0) return;
  const auto parts =
      FindPlacement(kTightest, tree, room, GangShape{taken, Adjacency::kAny});
  if (!parts) return;
  plan.parts.insert(plan.parts.end(), parts->begin(), parts->end());
  const auto count = static_cast<std::uint32_t>(taken);
  clusters.Use(id, count);
  plan.uses.push_back({id, count});
  left -= taken;
}

/// Binds the smallest unbound shape that holds the rest, else the largest.
bool BindNext(CellTree& tree, VirtualClusters& clusters, AccountIndex account,
              ReclaimRule rule, int& left, GuaranteePlan& plan) {
  const VirtualCluster& cluster = clusters.cluster(account);
  std::optional<ShapeLevel> chosen;
  for (std::size_t i = 0; i < kLevels; ++i) {
    const auto level = static_cast<ShapeLevel>(i);
    if (cluster.Unbound(level) == 0) continue;
    chosen = level;
    if (tree.Ratio(level, ShapeLevel::kAccelerator) >= left) break;
  }
  if (!chosen) return false;
  const auto size =
      static_cast<int>(tree.Ratio(*chosen, ShapeLevel::kAccelerator));
  const auto place = FindPlace(tree, clusters, *chosen, std::min(left, size),
                               Adjacency::kAny, rule);
  if (!place) return false;
  const BindingId id = clusters.Bind(tree, account, *place);
  TakeFrom(tree, clusters, id, rule, left, plan);
  return true;
}

std::optional<GuaranteePlan> InSeveralShapes(CellTree& tree,
                                             VirtualClusters& clusters,
                                             AccountIndex account, int count,
                                             ReclaimRule rule) {
  GuaranteePlan plan;
  int left = count;
  const std::vector<BindingId> bound = clusters.cluster(account).bindings;
  for (const BindingId id : bound) {
    if (left > 0) TakeFrom(tree, clusters, id, rule, left, plan);
  }
  while (left > 0 && BindNext(tree, clusters, account, rule, left, plan)) {
  }
  if (left == 0) {
    plan.parts = MergeParts(std::move(plan.parts));
    return plan;
  }
  for (const BindingUse& use : plan.uses) {
    clusters.EndUse(tree, use.binding, use.accelerators);
  }
  return std::nullopt;
}

}  // namespace

std::optional<GuaranteePlan> PlanInGuarantee(CellTree& tree,
                                             VirtualClusters& clusters,
                                             AccountIndex account,
                                             const GangShape& shape,
                                             ReclaimRule rule) {
  if (auto plan = InBoundShape(tree, clusters, account, shape, rule)) {
    return plan;
  }
  if (auto plan = InNewShape(tree, clusters, account, shape, rule)) return plan;
  if (shape.adjacency != Adjacency::kAny) return std::nullopt;
  return InSeveralShapes(tree, clusters, account, shape.accelerators, rule);
}

}  // namespace jasminespar::scheduling
