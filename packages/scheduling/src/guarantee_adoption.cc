/// @file
/// Binds guaranteed shapes around a gang that already runs.

#include <bit>

#include "jasminespar/scheduling/guarantee_plan.h"

namespace jasminespar::scheduling {
namespace {

constexpr std::size_t IndexOf(ShapeLevel level) {
  return static_cast<std::size_t>(level);
}

/// @return the bindable subtree of that level that contains the accelerators,
///     or nothing.
std::optional<Subtree> EnclosingSubtree(const CellTree& tree, ShapeLevel level,
                                        const GangPart& part) {
  const TreeWorker& worker = tree.workers()[part.worker];
  if (level == ShapeLevel::kRack) {
    const TreeRack& rack = tree.racks()[worker.rack];
    if (!tree.IsFullyBindable(rack)) return std::nullopt;
    return Subtree{level, rack.begin, rack.end, ~0ULL};
  }
  std::uint64_t mask = worker.all;
  if (level == ShapeLevel::kWorker) {
    if (!tree.IsFullWorker(part.worker)) return std::nullopt;
  } else {
    const int size = 1 << IndexOf(level);
    const int at = std::countr_zero(part.mask) / size * size;
    mask = LowBits(size) << static_cast<unsigned>(at);
    if ((part.mask & ~mask) != 0) return std::nullopt;
  }
  if ((mask & ~worker.bindable()) != 0) return std::nullopt;
  return Subtree{level, part.worker, part.worker + 1, mask};
}

/// Adds the parts of one gang to bound shapes of its account.
class Adoption {
 public:
  Adoption(CellTree& tree, VirtualClusters& clusters, AccountIndex account)
      : tree_(tree), clusters_(clusters), account_(account) {}

  /// Adds the part to bound shapes, split into halves as often as necessary.
  /// @param size size of the aligned block that contains the accelerators.
  /// @return false if the guarantee cannot contain it; the caller must Undo().
  bool AdoptPart(const GangPart& part, int size) {
    if (part.mask == 0 || AdoptInOneShape(part)) return true;
    if (size <= 1) return false;
    const int half = size / 2;
    std::uint64_t lower = 0;
    for (int at = 0; at < configuration::kMaxAcceleratorsPerWorker;
         at += size) {
      lower |= LowBits(half) << static_cast<unsigned>(at);
    }
    return AdoptPart({part.worker, part.mask & lower}, half) &&
           AdoptPart({part.worker, part.mask & ~lower}, half);
  }

  void Undo() {
    for (const BindingUse& use : uses_) {
      clusters_.RemoveUse(tree_, use.binding, use.accelerators);
    }
  }

  [[nodiscard]] const std::vector<BindingUse>& uses() const { return uses_; }

 private:
  bool AdoptInOneShape(const GangPart& part) {
    for (const BindingId id : clusters_.cluster(account_).bindings) {
      const Subtree& place = clusters_.binding(id).place;
      const bool inside = part.worker >= place.begin &&
                          part.worker < place.end &&
                          (part.mask & ~place.mask) == 0;
      if (!inside) continue;
      AddUse(id, part);
      return true;
    }
    for (std::size_t i = 0; i < kShapeLevels; ++i) {
      const auto level = static_cast<ShapeLevel>(i);
      if (clusters_.cluster(account_).Unbound(level) == 0) continue;
      const auto place = EnclosingSubtree(tree_, level, part);
      if (!place) continue;
      AddUse(clusters_.Bind(tree_, account_, *place), part);
      return true;
    }
    return false;
  }

  void AddUse(BindingId id, const GangPart& part) {
    const auto count = static_cast<std::uint32_t>(std::popcount(part.mask));
    clusters_.AddUse(id, count);
    uses_.push_back({id, count});
  }

  CellTree& tree_;
  VirtualClusters& clusters_;
  AccountIndex account_;
  std::vector<BindingUse> uses_;
};

}  // namespace

std::optional<std::vector<BindingUse>> AdoptInGuarantee(
    CellTree& tree, VirtualClusters& clusters, AccountIndex account,
    const std::vector<GangPart>& parts) {
  Adoption adoption(tree, clusters, account);
  for (const GangPart& part : parts) {
    if (adoption.AdoptPart(part, configuration::kMaxAcceleratorsPerWorker)) {
      continue;
    }
    adoption.Undo();
    return std::nullopt;
  }
  return adoption.uses();
}

}  // namespace jasminespar::scheduling
