/// @file
/// The accelerators of one cell as a tree: accelerator, pair, quad, worker,
/// rack. Sets of accelerators on one worker are 64-bit masks.

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

inline constexpr std::size_t kLevels = configuration::kShapeLevelNames.size();

/// One number for each level of the tree.
using LevelCounts = std::array<std::int64_t, kLevels>;

using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;

/// Accelerators of one worker, by its index in the tree.
struct Part {
  WorkerIndex worker = 0;
  std::uint64_t mask = 0;
};

/// One worker; masks hold bit i for accelerator i.
struct TreeWorker {
  WorkerId id;
  RackIndex rack = 0;
  int size = 0;
  std::uint64_t all = 0;
  bool live = false;         ///< Listed as live by the platform.
  bool quarantined = false;  ///< Failed too often lately.
  std::uint64_t held = 0;    ///< Allocated to a gang that was started.
  std::uint64_t firm = 0;    ///< Of gangs that are never reclaimed, and claims.
  std::uint64_t claimed = 0;   ///< Promised to a gang that is about to start.
  std::uint64_t bound = 0;     ///< Inside a bound guarantee.
  std::uint64_t reserved = 0;  ///< Kept for a gang that has waited long.

  [[nodiscard]] bool usable() const noexcept { return live && !quarantined; }
  [[nodiscard]] std::uint64_t free() const noexcept {
    return usable() ? all & ~held & ~claimed : 0;
  }
  /// Accelerators with which an unbound guarantee can be met.
  [[nodiscard]] std::uint64_t cover() const noexcept {
    return usable() ? all & ~firm & ~bound : 0;
  }
};

/// One rack; its workers are consecutive.
struct TreeRack {
  std::uint32_t number = 0;
  WorkerIndex begin = 0;
  WorkerIndex end = 0;
  std::uint32_t free = 0;         ///< Free accelerators.
  std::uint32_t whole_cover = 0;  ///< Full-sized workers wholly in cover.
};

/// @return the pairs inside a mask, one bit each.
[[nodiscard]] constexpr std::uint64_t PairsOf(std::uint64_t mask) noexcept {
  return mask & (mask >> 1U) & 0x5555555555555555ULL;
}
/// @return the quads inside a mask, one bit each.
[[nodiscard]] constexpr std::uint64_t QuadsOf(std::uint64_t mask) noexcept {
  const std::uint64_t pairs = PairsOf(mask);
  return pairs & (pairs >> 2U) & 0x1111111111111111ULL;
}
/// @return a mask of the `size` lowest bits.
[[nodiscard]] constexpr std::uint64_t LowBits(int size) noexcept {
  return size >= 64 ? ~0ULL : (1ULL << static_cast<unsigned>(size)) - 1;
}

/// Tree with the counters of subtrees that can meet a guarantee, kept up to
/// date by each change in time independent of the cell's size.
///
/// Where workers or racks differ in size, the largest ones are the shapes
/// "worker" and "rack"; smaller ones count for the levels below only.
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

  /// @return whole subtrees at each level with which guarantees can be met.
  [[nodiscard]] const LevelCounts& cover() const noexcept { return cover_; }
  /// @return the same, counted afresh.
  [[nodiscard]] LevelCounts CountCover() const;
  /// @return subtrees of level `inner` in one subtree of level `outer`.
  [[nodiscard]] std::int64_t Ratio(ShapeLevel outer, ShapeLevel inner) const;
  [[nodiscard]] std::uint32_t free() const noexcept { return free_; }
  [[nodiscard]] std::uint32_t total() const noexcept { return total_; }
  [[nodiscard]] int worker_size() const noexcept { return worker_size_; }
  [[nodiscard]] std::uint32_t rack_size() const noexcept { return rack_size_; }
  [[nodiscard]] bool IsFullWorker(WorkerIndex worker) const {
    return workers_[worker].size == worker_size_;
  }
  /// @return whether the rack has the full size and lies wholly in cover.
  [[nodiscard]] bool IsWholeCover(const TreeRack& rack) const {
    return rack_size_ > 0 && rack.end - rack.begin == rack_size_ &&
           rack.whole_cover == rack_size_;
  }
  /// @return the accelerators of the largest gang of that adjacency on the
  ///     empty cell with every listed worker in use.
  [[nodiscard]] std::uint32_t Capacity(Adjacency adjacency) const noexcept {
    return capacity_[static_cast<std::size_t>(adjacency)];
  }
  /// @return the most adjacent accelerators that are free: of a rack if one
  ///     is wholly free, else of a worker.
  [[nodiscard]] std::uint32_t LargestFreeShape() const;

  /// Changes one worker and updates the counters.
  template <typename Change>
  void Update(WorkerIndex worker, Change change) {
    Discount(worker);
    change(workers_[worker]);
    Count(worker);
  }

 private:
  void Discount(WorkerIndex worker) { Add(worker, -1); }
  void Count(WorkerIndex worker) { Add(worker, 1); }
  void Add(WorkerIndex worker, int sign);

  std::vector<TreeWorker> workers_;
  std::vector<TreeRack> racks_;
  std::unordered_map<WorkerId, WorkerIndex> index_;
  LevelCounts cover_{};
  std::array<std::uint32_t, kAdjacencyNames.size()> capacity_{};
  std::uint32_t free_ = 0;
  std::uint32_t total_ = 0;
  int worker_size_ = 0;
  std::uint32_t rack_size_ = 0;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_CELL_TREE_H_
