/// @file
/// The accelerators of one cell as a tree with the levels accelerator, pair,
/// quad, worker and rack. A set of accelerators of one worker is a 64-bit mask.

#ifndef JASMINESPAR_SCHEDULING_CELL_TREE_H_
#define JASMINESPAR_SCHEDULING_CELL_TREE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::scheduling {

using configuration::ShapeLevel;

inline constexpr std::size_t kShapeLevels =
    configuration::kShapeLevelNames.size();

/// One count for each level of the tree.
using LevelCounts = std::array<std::int64_t, kShapeLevels>;

using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;

/// Accelerators of a gang on one worker, given by its index in the tree.
struct GangPart {
  WorkerIndex worker = 0;
  std::uint64_t mask = 0;
};

/// State of one worker. Bit i of each mask stands for accelerator i.
struct TreeWorker {
  WorkerId id;
  RackIndex rack = 0;
  int size = 0;
  std::uint64_t all = 0;
  bool live = false;         ///< Listed as live by the platform.
  bool quarantined = false;  ///< Excluded by WorkerHealth after failures.
  std::uint64_t held = 0;    ///< Allocated to a gang.
  /// Held or claimed by a guaranteed or firm gang.
  std::uint64_t nonreclaimable = 0;
  std::uint64_t claimed = 0;   ///< Held by a victim, claimed by another gang.
  std::uint64_t bound = 0;     ///< Inside a bound guaranteed shape.
  std::uint64_t reserved = 0;  ///< Reserved for a gang that has waited long.

  [[nodiscard]] bool usable() const noexcept { return live && !quarantined; }
  [[nodiscard]] std::uint64_t free() const noexcept {
    return usable() ? all & ~held & ~claimed : 0;
  }
  /// Accelerators to which an unbound guaranteed shape can be bound: free ones
  /// and those that reclaimable gangs hold, outside bound shapes.
  [[nodiscard]] std::uint64_t bindable() const noexcept {
    return usable() ? all & ~nonreclaimable & ~bound : 0;
  }
};

/// One rack. Its workers have the consecutive indices [begin, end).
struct TreeRack {
  std::uint32_t number = 0;  ///< Rack number in the topology.
  WorkerIndex begin = 0;
  WorkerIndex end = 0;
  std::uint32_t free = 0;              ///< Free accelerators.
  std::uint32_t bindable_workers = 0;  ///< Full-sized, wholly bindable.
};

/// @return the aligned pairs that lie wholly inside a mask, as their lowest
///     bits.
[[nodiscard]] constexpr std::uint64_t PairsOf(std::uint64_t mask) noexcept {
  return mask & (mask >> 1U) & 0x5555555555555555ULL;
}
/// @return the aligned quads that lie wholly inside a mask, as their lowest
///     bits.
[[nodiscard]] constexpr std::uint64_t QuadsOf(std::uint64_t mask) noexcept {
  const std::uint64_t pairs = PairsOf(mask);
  return pairs & (pairs >> 2U) & 0x1111111111111111ULL;
}
/// @return a mask of the `size` lowest bits.
[[nodiscard]] constexpr std::uint64_t LowBits(int size) noexcept {
  return size >= 64 ? ~0ULL : (1ULL << static_cast<unsigned>(size)) - 1;
}

/// Tree that counts, at each level, the whole subtrees to which a guaranteed
/// shape can be bound. Each change updates the counters in time independent of
/// the size of the cell.
///
/// Where workers or racks differ in size, only the largest ones count as shapes
/// of the levels worker and rack; smaller ones count for the levels below only.
class CellTree {
 public:
  CellTree() = default;
  explicit CellTree(const configuration::CellTopology& topology);

  [[nodiscard]] const std::vector<TreeWorker>& workers() const noexcept {
    return workers_;
  }
  [[nodiscard]] const std::vector<TreeRack>& racks() const noexcept {
    return racks_;
  }
  [[nodiscard]] std::optional<WorkerIndex> Find(WorkerId id) const;

  /// @return the number of wholly bindable subtrees at each level.
  [[nodiscard]] const LevelCounts& bindable() const noexcept {
    return bindable_;
  }
  /// @return the same numbers, recounted from the workers.
  [[nodiscard]] LevelCounts CountBindable() const;
  /// @return the number of subtrees of level `inner` in one of level `outer`.
  [[nodiscard]] std::int64_t SubtreesWithin(ShapeLevel outer,
                                            ShapeLevel inner) const;
  /// @return free accelerators of the cell.
  [[nodiscard]] std::uint32_t free() const noexcept { return free_; }
  /// @return accelerators of all usable workers.
  [[nodiscard]] std::uint32_t total() const noexcept { return total_; }
  /// @return accelerators of the largest worker.
  [[nodiscard]] int worker_size() const noexcept { return worker_size_; }
  /// @return workers of the largest rack.
  [[nodiscard]] std::uint32_t rack_size() const noexcept { return rack_size_; }
  [[nodiscard]] bool IsFullWorker(WorkerIndex worker) const {
    return workers_[worker].size == worker_size_;
  }
  /// @return whether the rack has the full size and all of it is bindable.
  [[nodiscard]] bool IsFullyBindable(const TreeRack& rack) const {
    return rack_size_ > 0 && rack.end - rack.begin == rack_size_ &&
           rack.bindable_workers == rack_size_;
  }
  /// @return the size, in accelerators, of the largest gang of that adjacency
  ///     that fits on the empty cell with every listed worker in use.
  [[nodiscard]] std::uint32_t Capacity(Adjacency adjacency) const noexcept {
    return capacity_[static_cast<std::size_t>(adjacency)];
  }
  /// @return the accelerators of the largest free shape: all wholly free
  ///     workers of one rack together, or a free quad, pair or accelerator of
  ///     one worker.
  [[nodiscard]] std::uint32_t LargestFreeShape() const;

  /// Applies `change` to one worker and updates the counters.
  template <typename Change>
  void Update(WorkerIndex worker, Change change) {
    RemoveFromCounters(worker);
    change(workers_[worker]);
    AddToCounters(worker);
  }

 private:
  void RemoveFromCounters(WorkerIndex worker) { UpdateCounters(worker, -1); }
  void AddToCounters(WorkerIndex worker) { UpdateCounters(worker, 1); }
  /// @param sign 1 to add the worker to the counters, -1 to subtract it.
  void UpdateCounters(WorkerIndex worker, int sign);

  std::vector<TreeWorker> workers_;
  std::vector<TreeRack> racks_;
  std::unordered_map<WorkerId, WorkerIndex> index_;
  LevelCounts bindable_{};
  std::array<std::uint32_t, kAdjacencyNames.size()> capacity_{};
  std::uint32_t free_ = 0;
  std::uint32_t total_ = 0;
  int worker_size_ = 0;
  std::uint32_t rack_size_ = 0;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_CELL_TREE_H_
