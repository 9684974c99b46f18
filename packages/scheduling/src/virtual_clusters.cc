#include "jasminespar/scheduling/virtual_clusters.h"

#include <algorithm>

#include "jasminespar/scheduling/invariant.h"

namespace jasminespar::scheduling {
namespace {

constexpr ShapeLevel LevelOf(std::size_t index) {
  return static_cast<ShapeLevel>(index);
}
constexpr std::size_t IndexOf(ShapeLevel level) {
  return static_cast<std::size_t>(level);
}

const VirtualCluster kNoGuarantee;

}  // namespace

const VirtualCluster& VirtualClusters::cluster(AccountIndex account) const {
  return account < clusters_.size() ? clusters_[account] : kNoGuarantee;
}

void VirtualClusters::SetGuarantees(
    const CellTree& tree, AccountIndex account,
    const std::vector<configuration::Guarantee>& guarantees) {
  if (account >= clusters_.size()) clusters_.resize(account + 1);
  VirtualCluster& cluster = clusters_[account];
  cluster.guaranteed.fill(0);
  for (const configuration::Guarantee& guarantee : guarantees) {
    cluster.guaranteed[IndexOf(guarantee.level)] += guarantee.count;
  }
  Recount(tree);
}

void VirtualClusters::Recount(const CellTree& tree) {
  need_.fill(0);
  for (VirtualCluster& cluster : clusters_) {
    cluster.guaranteed_accelerators = 0;
    for (std::size_t i = 0; i < kShapeLevels; ++i) {
      cluster.guaranteed_accelerators +=
          cluster.guaranteed[i] *
          tree.SubtreesWithin(LevelOf(i), ShapeLevel::kAccelerator);
      AddNeed(tree, LevelOf(i), cluster.Unbound(LevelOf(i)));
    }
  }
}

void VirtualClusters::AddNeed(const CellTree& tree, ShapeLevel level,
                              std::int64_t count) {
  for (std::size_t i = 0; i <= IndexOf(level); ++i) {
    need_[i] += count * tree.SubtreesWithin(level, LevelOf(i));
  }
}

void VirtualClusters::SetBound(CellTree& tree, const Subtree& place,
                               bool bound) {
  for (WorkerIndex w = place.begin; w < place.end; ++w) {
    tree.Update(w, [&](TreeWorker& worker) {
      const std::uint64_t mask = worker.all & place.mask;
      worker.bound = bound ? worker.bound | mask : worker.bound & ~mask;
    });
  }
}

BindingId VirtualClusters::Bind(CellTree& tree, AccountIndex account,
                                const Subtree& place) {
  VirtualCluster& cluster = clusters_[account];
  Ensure(cluster.Unbound(place.level) > 0,
         "account has no unbound shape of this level");
  AddNeed(tree, place.level, -1);
  ++cluster.bound[IndexOf(place.level)];
  SetBound(tree, place, true);
  BindingId id = 0;
  if (free_ids_.empty()) {
    id = static_cast<BindingId>(bindings_.size());
    bindings_.emplace_back();
  } else {
    id = free_ids_.back();
    free_ids_.pop_back();
  }
  bindings_[id] = Binding{account, place, 0};
  cluster.bindings.push_back(id);
  return id;
}

void VirtualClusters::AddUse(BindingId id, std::uint32_t accelerators) {
  bindings_[id].used += accelerators;
  clusters_[bindings_[id].account].used += accelerators;
}

void VirtualClusters::RemoveUse(CellTree& tree, BindingId id,
                                std::uint32_t accelerators) {
  Binding& binding = bindings_[id];
  Ensure(binding.used >= accelerators,
         "more accelerators removed from a binding than in use");
  binding.used -= accelerators;
  clusters_[binding.account].used -= accelerators;
  if (binding.used == 0) Unbind(tree, id);
}

void VirtualClusters::Unbind(CellTree& tree, BindingId id) {
  Binding& binding = bindings_[id];
  VirtualCluster& cluster = clusters_[binding.account];
  const std::uint32_t before = cluster.Unbound(binding.place.level);
  --cluster.bound[IndexOf(binding.place.level)];
  cluster.used -= binding.used;
  // If the guarantee of the shape was withdrawn, unbinding it adds no need.
  AddNeed(tree, binding.place.level,
          cluster.Unbound(binding.place.level) - before);
  SetBound(tree, binding.place, false);
  std::erase(cluster.bindings, id);
  binding = Binding{};
  free_ids_.push_back(id);
}

bool VirtualClusters::MaySplit(const CellTree& tree, ShapeLevel level) const {
  if (mutation_ == Mutation::kSkipFeasibilityCheck) return true;
  const std::size_t i = IndexOf(level);
  return need_[i] - (tree.bindable()[i] - 1) <= allowed_deficit_[i];
}

bool VirtualClusters::IsFeasible(const CellTree& tree) const {
  for (std::size_t i = 0; i < kShapeLevels; ++i) {
    if (need_[i] - tree.bindable()[i] > allowed_deficit_[i]) return false;
  }
  return true;
}

LevelCounts VirtualClusters::Deficit(const CellTree& tree) const {
  LevelCounts deficit{};
  for (std::size_t i = 0; i < kShapeLevels; ++i) {
    deficit[i] = std::max<std::int64_t>(0, need_[i] - tree.bindable()[i]);
  }
  return deficit;
}

void VirtualClusters::AcceptDeficit(const CellTree& tree) {
  allowed_deficit_ = Deficit(tree);
}

void VirtualClusters::TightenDeficit(const CellTree& tree) {
  const LevelCounts deficit = Deficit(tree);
  for (std::size_t i = 0; i < kShapeLevels; ++i) {
    allowed_deficit_[i] = std::min(allowed_deficit_[i], deficit[i]);
  }
}

void VirtualClusters::MoveBinding(CellTree& tree, BindingId id,
                                  const Subtree& place) {
  bindings_[id].place = place;
  SetBound(tree, place, true);
}

}  // namespace jasminespar::scheduling
