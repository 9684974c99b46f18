/// @file
/// Finds the guarantee under which a gang that already runs was started.

#include <bit>

#include "jasminespar/scheduling/guarantee_plan.h"

namespace jasminespar::scheduling {
namespace {

constexpr std::size_t IndexOf(ShapeLevel level) {
  return static_cast<std::size_t>(level);
}

/// @return the subtree of that level around the accelerators, if there is one.
std::optional<Subtree> Around(const CellTree& tree, ShapeLevel level,
                              const Part& part) {
  const TreeWorker& worker = tree.workers()[part.worker];
  if (level == ShapeLevel::kRack) {
    const TreeRack& rack = tree.racks()[worker.rack];
    if (!tree.IsWholeCover(rack)) return std::nullopt;
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
  if ((mask & ~worker.cover()) != 0) return std::nullopt;
  return Subtree{level, part.worker, part.worker + 1, mask};
}

class Adoption {
 public:
  Adoption(CellTree& tree, VirtualClusters& clusters, AccountIndex account)
      : tree_(tree), clusters_(clusters), account_(account) {}

  /// Enters the part, halved as often as its shapes make necessary.
  bool Enter(const Part& part, int size) {
    if (part.mask == 0 || EnterWhole(part)) return true;
    if (size <= 1) return false;
    const int half = size / 2;
    std::uint64_t lower = 0;
    for (int at = 0; at < configuration::kMaxAcceleratorsPerWorker;
         at += size) {
      lower |= LowBits(half) << static_cast<unsigned>(at);
    }
    return Enter({part.worker, part.mask & lower}, half) &&
           Enter({part.worker, part.mask & ~lower}, half);
  }

  void Undo() {
    for (const BindingUse& use : uses_) {
      clusters_.EndUse(tree_, use.binding, use.accelerators);
    }
  }

  [[nodiscard]] const std::vector<BindingUse>& uses() const { return uses_; }

 private:
  bool EnterWhole(const Part& part) {
    for (const BindingId id : clusters_.cluster(account_).bindings) {
      const Subtree& place = clusters_.binding(id).place;
      const bool inside = part.worker >= place.begin &&
                          part.worker < place.end &&
                          (part.mask & ~place.mask) == 0;
      if (!inside) continue;
      Use(id, part);
      return true;
    }
    for (std::size_t i = 0; i < kLevels; ++i) {
      const auto level = static_cast<ShapeLevel>(i);
      if (clusters_.cluster(account_).Unbound(level) == 0) continue;
      const auto place = Around(tree_, level, part);
      if (!place) continue;
      Use(clusters_.Bind(tree_, account_, *place), part);
      return true;
    }
    return false;
  }

  void Use(BindingId id, const Part& part) {
    const auto count = static_cast<std::uint32_t>(std::popcount(part.mask));
    clusters_.Use(id, count);
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
    const std::vector<Part>& parts) {
  Adoption adoption(tree, clusters, account);
  for (const Part& part : parts) {
    if (adoption.Enter(part, configuration::kMaxAcceleratorsPerWorker)) {
      continue;
    }
    adoption.Undo();
    return std::nullopt;
  }
  return adoption.uses();
}

}  // namespace jasminespar::scheduling
