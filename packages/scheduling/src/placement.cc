#include "jasminespar/scheduling/placement.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <span>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::scheduling {
namespace {

using Parts = std::vector<GangPart>;

constexpr int kWordBits = 64;

std::uint64_t PickLowest(std::uint64_t mask, int count) {
  std::uint64_t picked = 0;
  for (; count > 0; --count) {
    const std::uint64_t bit = mask & (~mask + 1);
    picked |= bit;
    mask &= ~bit;
  }
  return picked;
}

/// Picks free accelerators first, then those that must be reclaimed.
std::uint64_t PickFreeFirst(const Candidate& candidate, int count) {
  const int free = std::popcount(candidate.free);
  if (free >= count) return PickBestFit(candidate.free, count);
  return candidate.free |
         PickBestFit(candidate.eligible & ~candidate.free, count - free);
}

/// @return the cost of taking `count` accelerators from a worker. It is lowest
///     for the fewest reclaims, then for the smallest subtree split, then for
///     the fullest worker and rack.
std::uint64_t WorkerCost(const CellTree& tree, const Candidate& candidate,
                         int count) {
  const TreeWorker& worker = tree.workers()[candidate.worker];
  const int free = std::popcount(candidate.free);
  const auto reclaims = static_cast<std::uint64_t>(std::max(0, count - free));
  const std::uint64_t all_free = worker.free();
  const bool whole_worker = all_free == worker.all && count < worker.size;
  const bool whole_quad =
      count < 4 && free >= count &&
      std::popcount(all_free & ~(QuadsOf(all_free) * 0xF)) < count;
  const bool whole_pair =
      count < 2 && free >= count &&
      std::popcount(all_free & ~(PairsOf(all_free) * 0x3)) < count;
  const auto eligible =
      static_cast<std::uint64_t>(std::popcount(candidate.eligible));
  return reclaims << 32U | (whole_worker ? 1ULL << 31U : 0) |
         (whole_quad ? 1ULL << 30U : 0) | (whole_pair ? 1ULL << 29U : 0) |
         eligible << 20U | std::min(tree.racks()[worker.rack].free, 0xFFFFFU);
}

std::optional<Parts> FitOnOneWorker(const CellTree& tree,
                                    std::span<const Candidate> candidates,
                                    int count) {
  const Candidate* best = nullptr;
  std::uint64_t best_cost = std::numeric_limits<std::uint64_t>::max();
  for (const Candidate& candidate : candidates) {
    if (std::popcount(candidate.eligible) < count) continue;
    const std::uint64_t cost = WorkerCost(tree, candidate, count);
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = &candidate;
  }
  if (best == nullptr) return std::nullopt;
  return Parts{{best->worker, PickFreeFirst(*best, count)}};
}

/// Takes whole workers first, then the rest from the worker where it costs
/// least.
std::optional<Parts> FitOverWorkers(const CellTree& tree,
                                    std::span<const Candidate> candidates,
                                    int count) {
  std::vector<Candidate> order(candidates.begin(), candidates.end());
  std::stable_sort(
      order.begin(), order.end(), [](const Candidate& a, const Candidate& b) {
        const int free_a = std::popcount(a.free);
        const int free_b = std::popcount(b.free);
        if (free_a != free_b) return free_a > free_b;
        return std::popcount(a.eligible) > std::popcount(b.eligible);
      });
  Parts parts;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const int available = std::popcount(order[i].eligible);
    if (available < count) {
      parts.push_back({order[i].worker, order[i].eligible});
      count -= available;
      continue;
    }
    const auto rest = FitOnOneWorker(tree, std::span(order).subspan(i), count);
    parts.push_back(rest->front());
    return parts;
  }
  return std::nullopt;
}

/// @return the consecutive candidates of each rack.
std::vector<std::span<const Candidate>> GroupByRack(
    const CellTree& tree, std::span<const Candidate> candidates) {
  std::vector<std::span<const Candidate>> racks;
  std::size_t begin = 0;
  for (std::size_t i = 1; i <= candidates.size(); ++i) {
    const auto rack = [&](std::size_t k) {
      return tree.workers()[candidates[k].worker].rack;
    };
    if (i < candidates.size() && rack(i) == rack(begin)) continue;
    racks.push_back(candidates.subspan(begin, i - begin));
    begin = i;
  }
  return racks;
}

/// Uses the rack that needs the fewest reclaims, then the one with the fewest
/// eligible accelerators.
std::optional<Parts> FitInOneRack(const CellTree& tree,
                                  std::span<const Candidate> candidates,
                                  int count) {
  if (candidates.empty()) return std::nullopt;
  std::optional<std::span<const Candidate>> best;
  std::uint64_t best_cost = std::numeric_limits<std::uint64_t>::max();
  for (const auto& rack : GroupByRack(tree, candidates)) {
    int eligible = 0;
    int free = 0;
    for (const Candidate& candidate : rack) {
      eligible += std::popcount(candidate.eligible);
      free += std::popcount(candidate.free);
    }
    if (eligible < count) continue;
    const auto reclaims = static_cast<std::uint64_t>(std::max(0, count - free));
    const std::uint64_t cost =
        reclaims << 32U | static_cast<std::uint64_t>(eligible);
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = rack;
  }
  if (!best) return std::nullopt;
  return FitOverWorkers(tree, *best, count);
}

std::optional<Parts> FindParts(const BestFit&, const CellTree& tree,
                               std::span<const Candidate> candidates,
                               const GangShape& shape) {
  const int count = shape.accelerators;
  if (count <= kWordBits) {
    if (auto parts = FitOnOneWorker(tree, candidates, count)) return parts;
  }
  if (shape.adjacency == Adjacency::kWorker) return std::nullopt;
  if (auto parts = FitInOneRack(tree, candidates, count)) return parts;
  if (shape.adjacency == Adjacency::kRack) return std::nullopt;
  return FitOverWorkers(tree, candidates, count);
}

/// Takes the eligible accelerators with the lowest numbers.
std::optional<Parts> FirstFitAmong(std::span<const Candidate> candidates,
                                   int count) {
  Parts parts;
  for (const Candidate& candidate : candidates) {
    const int taken = std::min(count, std::popcount(candidate.eligible));
    parts.push_back({candidate.worker, PickLowest(candidate.eligible, taken)});
    count -= taken;
    if (count == 0) return parts;
  }
  return std::nullopt;
}

std::optional<Parts> FindParts(const FirstFit&, const CellTree& tree,
                               std::span<const Candidate> candidates,
                               const GangShape& shape) {
  const int count = shape.accelerators;
  if (shape.adjacency == Adjacency::kAny) {
    return FirstFitAmong(candidates, count);
  }
  if (shape.adjacency == Adjacency::kRack) {
    if (candidates.empty()) return std::nullopt;
    for (const auto& rack : GroupByRack(tree, candidates)) {
      if (auto parts = FirstFitAmong(rack, count)) return parts;
    }
    return std::nullopt;
  }
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (auto parts = FirstFitAmong(candidates.subspan(i, 1), count)) {
      return parts;
    }
  }
  return std::nullopt;
}

}  // namespace

std::uint64_t PickBestFit(std::uint64_t mask, int count) {
  if (count <= 0) return 0;
  if (std::popcount(mask) == count) return mask;
  const int width = static_cast<int>(
      std::bit_ceil(static_cast<unsigned>(std::bit_width(mask))));
  for (int size = static_cast<int>(std::bit_ceil(static_cast<unsigned>(count)));
       size <= width; size *= 2) {
    std::uint64_t best = 0;
    int best_cost = std::numeric_limits<int>::max();
    for (int at = 0; at < width; at += size) {
      const std::uint64_t block =
          mask & (LowBits(size) << static_cast<unsigned>(at));
      const int available = std::popcount(block);
      if (available < count) continue;
      // Among equally full blocks, prefer the one in fuller enclosing blocks.
      int cost = available * kWordBits * 4;
      for (int outer = size * 2; outer <= width; outer *= 2) {
        const int start = at / outer * outer;
        cost += std::popcount(mask &
                              (LowBits(outer) << static_cast<unsigned>(start)));
      }
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = block;
    }
    if (best == 0) continue;
    if (std::popcount(best) == count) return best;
    // Pick best-fit pieces inside the block, the largest power of two first.
    const int piece =
        static_cast<int>(std::bit_floor(static_cast<unsigned>(count)));
    if (piece == count) return PickLowest(best, count);
    const std::uint64_t first = PickBestFit(best, piece);
    return first | PickBestFit(best & ~first, count - piece);
  }
  return PickLowest(mask, count);
}

std::optional<std::vector<GangPart>> FindPlacement(
    const PlacementPolicy& policy, const CellTree& tree,
    const Candidates& candidates, const GangShape& shape) {
  return std::visit(Overloaded{[&](const auto& chosen) {
                      return FindParts(chosen, tree, std::span(candidates),
                                       shape);
                    }},
                    policy);
}

std::vector<GangPart> MergeParts(std::vector<GangPart> parts) {
  std::vector<GangPart> merged;
  for (const GangPart& part : parts) {
    const auto same = std::find_if(
        merged.begin(), merged.end(),
        [&](const GangPart& other) { return other.worker == part.worker; });
    if (same == merged.end()) {
      merged.push_back(part);
    } else {
      same->mask |= part.mask;
    }
  }
  return merged;
}

}  // namespace jasminespar::scheduling
