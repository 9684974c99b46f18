/// @file
/// Guarantees of the client accounts as virtual clusters: sets of subtree
/// shapes that are bound to physical subtrees only while they are in use.

#ifndef JASMINESPAR_SCHEDULING_VIRTUAL_CLUSTERS_H_
#define JASMINESPAR_SCHEDULING_VIRTUAL_CLUSTERS_H_

#include <array>
#include <cstdint>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/scheduling/cell_tree.h"
#include "jasminespar/scheduling/policy.h"

namespace jasminespar::scheduling {

using AccountIndex = std::uint32_t;
using BindingId = std::uint32_t;

/// A physical subtree: `mask` on each of the workers [begin, end).
struct Subtree {
  ShapeLevel level = ShapeLevel::kAccelerator;
  WorkerIndex begin = 0;
  WorkerIndex end = 0;
  std::uint64_t mask = 0;
};

/// A guaranteed shape while its owner uses a part of it.
struct Binding {
  AccountIndex account = 0;
  Subtree place;
  std::uint32_t used = 0;  ///< Accelerators; the shape is unbound at zero.
};

/// What one account may call back.
struct VirtualCluster {
  std::array<std::uint32_t, kLevels> guaranteed{};
  std::array<std::uint32_t, kLevels> bound{};
  std::vector<BindingId> bindings;
  std::int64_t promised = 0;  ///< Accelerators of all guaranteed shapes.
  std::int64_t used = 0;      ///< Accelerators in use inside bound shapes.

  /// @return accelerators that the guarantee still has for a gang, at most.
  [[nodiscard]] std::int64_t Unused() const noexcept {
    return promised > used ? promised - used : 0;
  }
  [[nodiscard]] std::uint32_t Unbound(ShapeLevel level) const noexcept {
    const auto i = static_cast<std::size_t>(level);
    return guaranteed[i] > bound[i] ? guaranteed[i] - bound[i] : 0;
  }
};

/// Virtual clusters of all accounts and the cover rule.
///
/// The rule: at each level, the whole subtrees that are free or hold only
/// reclaimable work, outside bound shapes, are at least as many as all unbound
/// shapes of that level need, counting what the larger shapes use up. As
/// shapes nest and shapes of one level are equal, this is both necessary and
/// sufficient for all of them to be bound at once. Where workers break or a
/// guarantee grows the rule may fail; the deficit is then known, and no
/// decision may enlarge it.
class VirtualClusters {
 public:
  explicit VirtualClusters(Mutation mutation = Mutation::kNone)
      : mutation_(mutation) {}

  /// Replaces an account's guarantees; shapes bound beyond them stay bound
  /// until `Dissolve`.
  void SetGuarantees(const CellTree& tree, AccountIndex account,
                     const std::vector<configuration::Guarantee>& guarantees);

  [[nodiscard]] const VirtualCluster& cluster(AccountIndex account) const;
  [[nodiscard]] std::size_t size() const noexcept { return clusters_.size(); }
  [[nodiscard]] const Binding& binding(BindingId id) const {
    return bindings_[id];
  }
  /// @return shapes that the unbound guarantees need at each level.
  [[nodiscard]] const LevelCounts& need() const noexcept { return need_; }
  [[nodiscard]] const LevelCounts& allowed_deficit() const noexcept {
    return allowed_deficit_;
  }

  /// Binds one unbound shape of the account to a place wholly in cover.
  BindingId Bind(CellTree& tree, AccountIndex account, const Subtree& place);
  void Use(BindingId id, std::uint32_t accelerators);
  /// Ends a use; unbinds the shape with its last one.
  void EndUse(CellTree& tree, BindingId id, std::uint32_t accelerators);
  /// Unbinds a shape that is still in use; its gangs stay where they are.
  void Dissolve(CellTree& tree, BindingId id);

  /// @return whether one whole subtree of that level may leave the cover.
  [[nodiscard]] bool MaySplit(const CellTree& tree, ShapeLevel level) const;
  /// @return whether the cover rule holds, but for the known deficit.
  [[nodiscard]] bool Holds(const CellTree& tree) const;
  /// @return whether a decision that led to this tree may stand.
  [[nodiscard]] bool Permits(const CellTree& tree) const {
    return mutation_ == Mutation::kSkipCoverCheck || Holds(tree);
  }
  /// @return shapes missing at each level.
  [[nodiscard]] LevelCounts Deficit(const CellTree& tree) const;
  /// Takes the present deficit as known: after a change from outside.
  void AcceptDeficit(const CellTree& tree);
  /// Forgets the part of the known deficit that has been made good.
  void TightenDeficit(const CellTree& tree);

  /// Counts `need` afresh, after the tree was replaced.
  void Recount(const CellTree& tree);
  /// Moves a binding to its place in a replaced tree.
  void Rebase(CellTree& tree, BindingId id, const Subtree& place);

 private:
  void AddNeed(const CellTree& tree, ShapeLevel level, std::int64_t count);
  static void SetBound(CellTree& tree, const Subtree& place, bool bound);

  std::vector<VirtualCluster> clusters_;
  std::vector<Binding> bindings_;
  std::vector<BindingId> unused_;
  LevelCounts need_{};
  LevelCounts allowed_deficit_{};
  Mutation mutation_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_VIRTUAL_CLUSTERS_H_
