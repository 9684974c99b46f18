#include "jasminespar/scheduling/cell_tree.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace jasminespar::scheduling {
namespace {

static_assert(static_cast<int>(Adjacency::kAny) == 0 &&
              static_cast<int>(Adjacency::kRack) == 1 &&
              static_cast<int>(Adjacency::kWorker) == 2);

constexpr std::size_t IndexOf(ShapeLevel level) {
  return static_cast<std::size_t>(level);
}

}  // namespace

CellTree::CellTree(const configuration::CellTopology& topology) {
  std::vector<configuration::Worker> sorted = topology.workers;
  std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
    return std::tie(a.rack, a.id) < std::tie(b.rack, b.id);
  });
  for (const configuration::Worker& worker : sorted) {
    const auto index = static_cast<WorkerIndex>(workers_.size());
    if (racks_.empty() || racks_.back().number != worker.rack) {
      racks_.push_back(TreeRack{worker.rack, index, index, 0, 0});
    }
    racks_.back().end = index + 1;
    TreeWorker entry;
    entry.id = worker.id;
    entry.rack = static_cast<RackIndex>(racks_.size() - 1);
    entry.size = worker.accelerators;
    entry.all = LowBits(worker.accelerators);
    entry.live = worker.state == configuration::MachineState::kLive;
    workers_.push_back(entry);
    index_[worker.id] = index;
    worker_size_ = std::max(worker_size_, worker.accelerators);
  }
  for (const TreeRack& rack : racks_) {
    rack_size_ = std::max(rack_size_, rack.end - rack.begin);
    std::uint32_t in_rack = 0;
    for (WorkerIndex i = rack.begin; i < rack.end; ++i) {
      in_rack += static_cast<std::uint32_t>(workers_[i].size);
    }
    auto& [any, one_rack, one_worker] = capacity_;
    any += in_rack;
    one_rack = std::max(one_rack, in_rack);
    one_worker = static_cast<std::uint32_t>(worker_size_);
  }
  for (WorkerIndex i = 0; i < workers_.size(); ++i) AddToCounters(i);
}

std::optional<WorkerIndex> CellTree::Find(WorkerId id) const {
  const auto found = index_.find(id);
  if (found == index_.end()) return std::nullopt;
  return found->second;
}

void CellTree::UpdateCounters(WorkerIndex index, int sign) {
  const TreeWorker& worker = workers_[index];
  TreeRack& rack = racks_[worker.rack];
  const std::uint64_t bindable = worker.bindable();
  const auto free = static_cast<std::uint32_t>(std::popcount(worker.free()));
  const auto step = static_cast<std::uint32_t>(sign);  // Wraps around for -1.
  free_ += step * free;
  rack.free += step * free;
  if (worker.usable()) total_ += step * static_cast<std::uint32_t>(worker.size);
  bindable_[IndexOf(ShapeLevel::kAccelerator)] +=
      sign * std::popcount(bindable);
  bindable_[IndexOf(ShapeLevel::kPair)] +=
      sign * std::popcount(PairsOf(bindable));
  bindable_[IndexOf(ShapeLevel::kQuad)] +=
      sign * std::popcount(QuadsOf(bindable));
  if (bindable != worker.all || !IsFullWorker(index) || bindable == 0) return;
  bindable_[IndexOf(ShapeLevel::kWorker)] += sign;
  // A rack counts only while all its workers do, so it is subtracted before its
  // first worker and added after its last.
  if (sign < 0 && IsFullyBindable(rack)) {
    --bindable_[IndexOf(ShapeLevel::kRack)];
  }
  rack.bindable_workers += step;
  if (sign > 0 && IsFullyBindable(rack)) {
    ++bindable_[IndexOf(ShapeLevel::kRack)];
  }
}

LevelCounts CellTree::CountBindable() const {
  LevelCounts counts{};
  for (const TreeRack& rack : racks_) {
    std::uint32_t whole = 0;
    for (WorkerIndex i = rack.begin; i < rack.end; ++i) {
      const std::uint64_t bindable = workers_[i].bindable();
      counts[IndexOf(ShapeLevel::kAccelerator)] += std::popcount(bindable);
      counts[IndexOf(ShapeLevel::kPair)] += std::popcount(PairsOf(bindable));
      counts[IndexOf(ShapeLevel::kQuad)] += std::popcount(QuadsOf(bindable));
      if (IsFullWorker(i) && bindable != 0 && bindable == workers_[i].all) {
        ++whole;
      }
    }
    counts[IndexOf(ShapeLevel::kWorker)] += whole;
    if (whole == rack_size_ && rack.end - rack.begin == rack_size_) {
      ++counts[IndexOf(ShapeLevel::kRack)];
    }
  }
  return counts;
}

std::int64_t CellTree::SubtreesWithin(ShapeLevel outer,
                                      ShapeLevel inner) const {
  const std::array<std::int64_t, kShapeLevels> accelerators{
      1, 2, 4, worker_size_,
      static_cast<std::int64_t>(worker_size_) * rack_size_};
  if (outer < inner) return 0;
  if (inner == ShapeLevel::kRack) return 1;
  if (outer <= ShapeLevel::kWorker || inner == ShapeLevel::kWorker) {
    const std::int64_t size = accelerators[IndexOf(inner)];
    return size == 0 ? 0 : accelerators[IndexOf(outer)] / size;
  }
  // Pairs and quads do not span workers.
  return worker_size_ / accelerators[IndexOf(inner)] * rack_size_;
}

std::uint32_t CellTree::LargestFreeShape() const {
  std::uint32_t largest = 0;
  for (const TreeRack& rack : racks_) {
    std::uint32_t whole = 0;
    std::uint32_t best = 0;
    for (WorkerIndex i = rack.begin; i < rack.end; ++i) {
      const std::uint64_t free = workers_[i].free();
      const auto size = static_cast<std::uint32_t>(workers_[i].size);
      if (free == workers_[i].all) {
        whole += size;
        best = std::max(best, size);
      } else if (QuadsOf(free) != 0) {
        best = std::max(best, 4U);
      } else if (PairsOf(free) != 0) {
        best = std::max(best, 2U);
      } else if (free != 0) {
        best = std::max(best, 1U);
      }
    }
    largest = std::max({largest, best, whole});
  }
  return largest;
}

}  // namespace jasminespar::scheduling
