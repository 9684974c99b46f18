#include "jasminespar/configuration/capacity.h"

#include <algorithm>
#include <numeric>

namespace jasminespar::configuration {

namespace {

constexpr std::size_t IndexOf(ShapeLevel level) {
  return static_cast<std::size_t>(level);
}

constexpr int kPairSize = 2;
constexpr int kQuadSize = 4;

}  // namespace

CellCapacity::CellCapacity(const CellTopology& topology) {
  std::map<std::uint32_t, std::vector<int>> by_rack;
  for (const Worker& worker : topology.workers) {
    if (worker.state != MachineState::kLive) continue;
    by_rack[worker.rack].push_back(worker.accelerators);
  }
  for (auto& [rack, sizes] : by_rack) racks_.push_back(std::move(sizes));
  const auto size_of = [](const std::vector<int>& rack) {
    return std::accumulate(rack.begin(), rack.end(), 0);
  };
  std::stable_sort(
      racks_.begin(), racks_.end(),
      [&](const auto& a, const auto& b) { return size_of(a) < size_of(b); });
}

const CellCapacity::Remainder& CellCapacity::RemainderWithout(
    std::size_t racks) {
  const auto [found, added] = remainders_.try_emplace(racks);
  Remainder& remainder = found->second;
  if (!added) return remainder;
  std::vector<int> sizes;
  for (std::size_t i = racks; i < racks_.size(); ++i) {
    sizes.insert(sizes.end(), racks_[i].begin(), racks_[i].end());
  }
  std::sort(sizes.begin(), sizes.end());
  remainder.quads.resize(sizes.size() + 1);
  remainder.pairs.resize(sizes.size() + 1);
  remainder.accelerators.resize(sizes.size() + 1);
  for (std::size_t i = sizes.size(); i-- > 0;) {
    const auto size = static_cast<std::uint64_t>(sizes[i]);
    remainder.quads[i] = remainder.quads[i + 1] + size / kQuadSize;
    remainder.pairs[i] = remainder.pairs[i + 1] + size / kPairSize;
    remainder.accelerators[i] = remainder.accelerators[i + 1] + size;
  }
  return remainder;
}

bool CellCapacity::Fits(const ShapeCounts& counts) {
  const std::uint64_t racks = counts[IndexOf(ShapeLevel::kRack)];
  if (racks > racks_.size()) return false;
  const Remainder& remainder = RemainderWithout(racks);
  const std::uint64_t workers = counts[IndexOf(ShapeLevel::kWorker)];
  if (workers >= remainder.quads.size()) return false;
  const std::uint64_t quads = counts[IndexOf(ShapeLevel::kQuad)];
  const std::uint64_t pairs = counts[IndexOf(ShapeLevel::kPair)];
  const std::uint64_t singles = counts[IndexOf(ShapeLevel::kAccelerator)];
  return quads <= remainder.quads[workers] &&
         2 * quads + pairs <= remainder.pairs[workers] &&
         kQuadSize * quads + kPairSize * pairs + singles <=
             remainder.accelerators[workers];
}

}  // namespace jasminespar::configuration
