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

/// A physical subtree: the accelerators `mask` of each worker in [begin, end).
struct Subtree {
  ShapeLevel level = ShapeLevel::kAccelerator;
  WorkerIndex begin = 0;
  WorkerIndex end = 0;
  std::uint64_t mask = 0;
};

/// A guaranteed shape that is bound to a place while its account uses it.
struct Binding {
  AccountIndex account = 0;
  Subtree place;
  std::uint32_t used = 0;  ///< Accelerators in use; unbound at zero.
};

/// Guarantee of one account and its present use.
struct VirtualCluster {
  std::array<std::uint32_t, kShapeLevels> guaranteed{};  ///< Shapes by level.
  std::array<std::uint32_t, kShapeLevels> bound{};  ///< Bound shapes by level.
  std::vector<BindingId> bindings;
  std::int64_t guaranteed_accelerators = 0;  ///< In all guaranteed shapes.
  std::int64_t used = 0;  ///< Accelerators in use inside bound shapes.

  /// @return upper bound of the accelerators that the guarantee has left for a
  ///     gang.
  [[nodiscard]] std::int64_t Unused() const noexcept {
    return guaranteed_accelerators > used ? guaranteed_accelerators - used : 0;
  }
  /// @return guaranteed shapes of that level that are not bound.
  [[nodiscard]] std::uint32_t Unbound(ShapeLevel level) const noexcept {
    const auto i = static_cast<std::size_t>(level);
    return guaranteed[i] > bound[i] ? guaranteed[i] - bound[i] : 0;
  }
};

/// Virtual clusters of all accounts and their feasibility rule.
///
/// Feasibility rule: at each level, there are at least as many bindable whole
/// subtrees (free or with reclaimable work only, outside bound shapes) as all
/// unbound shapes need, including the subtrees inside larger unbound shapes.
/// Since shapes nest and all shapes of a level are equal, this is necessary and
/// sufficient for all unbound shapes to be bound at once. The loss of workers
/// or a larger guarantee can break the rule; the deficit is then recorded as
/// allowed, and no decision may increase it.
class VirtualClusters {
 public:
  explicit VirtualClusters(Mutation mutation = Mutation::kNone)
      : mutation_(mutation) {}

  /// Replaces an account's guarantees. Shapes that are bound in excess of them
  /// stay bound until `Unbind`.
  void SetGuarantees(const CellTree& tree, AccountIndex account,
                     const std::vector<configuration::Guarantee>& guarantees);

  /// @return the account's virtual cluster; an empty one without a guarantee.
  [[nodiscard]] const VirtualCluster& cluster(AccountIndex account) const;
  [[nodiscard]] std::size_t size() const noexcept { return clusters_.size(); }
  [[nodiscard]] const Binding& binding(BindingId id) const {
    return bindings_[id];
  }
  /// @return whole subtrees that all unbound shapes need at each level.
  [[nodiscard]] const LevelCounts& need() const noexcept { return need_; }
  /// @return the deficit that external changes have caused; see AcceptDeficit.
  [[nodiscard]] const LevelCounts& allowed_deficit() const noexcept {
    return allowed_deficit_;
  }

  /// Binds one unbound shape of the account to a wholly bindable place.
  BindingId Bind(CellTree& tree, AccountIndex account, const Subtree& place);
  /// Adds accelerators to the use of a bound shape.
  void AddUse(BindingId id, std::uint32_t accelerators);
  /// Subtracts accelerators from the use of a bound shape; unbinds it at zero.
  void RemoveUse(CellTree& tree, BindingId id, std::uint32_t accelerators);
  /// Unbinds a shape, even one that is in use; its gangs keep running.
  void Unbind(CellTree& tree, BindingId id);

  /// @return whether the rule permits one bindable whole subtree of that level
  ///     less.
  [[nodiscard]] bool MaySplit(const CellTree& tree, ShapeLevel level) const;
  /// @return whether the feasibility rule holds but for the allowed deficit.
  [[nodiscard]] bool IsFeasible(const CellTree& tree) const;
  /// @return whether a decision may lead to this tree.
  [[nodiscard]] bool Permits(const CellTree& tree) const {
    return mutation_ == Mutation::kSkipFeasibilityCheck || IsFeasible(tree);
  }
  /// @return bindable whole subtrees missing at each level.
  [[nodiscard]] LevelCounts Deficit(const CellTree& tree) const;
  /// Sets the allowed deficit to the present one. To be called after a change
  /// that is not a decision, such as the loss of a worker.
  void AcceptDeficit(const CellTree& tree);
  /// Reduces the allowed deficit to the present one where that is smaller.
  void TightenDeficit(const CellTree& tree);

  /// Recounts `need`. To be called after the tree was replaced.
  void Recount(const CellTree& tree);
  /// Sets the place of a binding in a replaced tree.
  void MoveBinding(CellTree& tree, BindingId id, const Subtree& place);

 private:
  void AddNeed(const CellTree& tree, ShapeLevel level, std::int64_t count);
  static void SetBound(CellTree& tree, const Subtree& place, bool bound);

  std::vector<VirtualCluster> clusters_;
  std::vector<Binding> bindings_;
  std::vector<BindingId> free_ids_;
  LevelCounts need_{};
  LevelCounts allowed_deficit_{};
  Mutation mutation_;
};

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_VIRTUAL_CLUSTERS_H_
