#include "jasminespar/configuration/split.h"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>

#include "jasminespar/configuration/capacity.h"
#include "jasminespar/configuration/item_keys.h"
#include "jasminespar/core/digest.h"

namespace jasminespar::configuration {

namespace {

using Level = std::size_t;  // ShapeLevel as an index.

/// Guaranteed shapes assigned to one cell, by account and in total.
class CellPlacement {
 public:
  explicit CellPlacement(const CellTopology& topology)
      : id_(topology.id), capacity_(topology) {}

  [[nodiscard]] const CellId& id() const noexcept { return id_; }
  [[nodiscard]] std::uint64_t CountOf(const ClientAccountId& account,
                                      Level level) const {
    const auto found = counts_.find(account);
    return found == counts_.end() ? 0 : found->second[level];
  }

  void Add(const ClientAccountId& account, Level level, std::uint64_t n) {
    counts_[account][level] += n;
    total_[level] += n;
  }
  void Remove(const ClientAccountId& account, Level level) {
    --counts_[account][level];
    --total_[level];
  }

  [[nodiscard]] bool Fits() { return capacity_.Fits(total_); }
  [[nodiscard]] bool CanHold(const ShapeCounts& counts) {
    return capacity_.Fits(counts);
  }
  [[nodiscard]] const ShapeCounts& total() const noexcept { return total_; }

  /// @pre `total()[level]` is above 0.
  /// @return the account to evict a shape of that level from: the one with the
  ///     most in this cell; of equals, the last by id.
  [[nodiscard]] ClientAccountId VictimAt(Level level) const {
    const ClientAccountId* victim = nullptr;
    std::uint64_t most = 0;
    for (const auto& [account, counts] : counts_) {
      if (counts[level] < std::max<std::uint64_t>(most, 1)) continue;
      victim = &account;
      most = counts[level];
    }
    return *victim;
  }

 private:
  CellId id_;
  CellCapacity capacity_;
  ShapeCounts total_{};
  std::map<ClientAccountId, ShapeCounts> counts_;
};

class Splitter {
 public:
  Splitter(const Configuration& configuration,
           const std::vector<CellTopology>& cells)
      : configuration_(configuration) {
    for (const CellTopology& cell : cells) cells_.emplace_back(cell);
    for (const auto& [id, account] : configuration.accounts) {
      for (Level level = 0; level < kShapeLevels; ++level) {
        const auto count =
            GuaranteedCount(account, static_cast<ShapeLevel>(level));
        if (count > 0) unplaced_[level][id] = count;
      }
    }
  }

  SplitResult Run(const std::map<CellId, CellShare>& previous) {
    for (CellPlacement& cell : cells_) KeepPreviousShapes(cell, previous);
    for (CellPlacement& cell : cells_) EvictUntilFits(cell);
    for (Level level = kShapeLevels; level-- > 0;) PlaceUnplaced(level);
    return BuildResult();
  }

 private:
  /// Assigns to the cell its previous shapes, as far as still guaranteed.
  void KeepPreviousShapes(CellPlacement& cell,
                          const std::map<CellId, CellShare>& previous) {
    const auto share = previous.find(cell.id());
    if (share == previous.end()) return;
    for (const ClientAccount& account : share->second.accounts) {
      for (const Guarantee& guarantee : account.guarantees) {
        const auto level = static_cast<Level>(guarantee.level);
        const auto unplaced = unplaced_[level].find(account.id);
        if (unplaced == unplaced_[level].end()) continue;
        const std::uint64_t kept =
            std::min<std::uint64_t>(unplaced->second, guarantee.count);
        unplaced->second -= kept;
        cell.Add(account.id, level, kept);
      }
    }
  }

  /// Evicts as few shapes as possible until the rest fits, after workers were
  /// lost. If evicting a single shape suffices, the smallest such shape goes;
  /// otherwise the largest one, which frees the most capacity.
  void EvictUntilFits(CellPlacement& cell) {
    while (!cell.Fits()) {
      std::optional<Level> chosen;
      for (Level level = 0; level < kShapeLevels; ++level) {
        if (cell.total()[level] == 0) continue;
        chosen = level;
        ShapeCounts without = cell.total();
        --without[level];
        if (cell.CanHold(without)) break;
      }
      Evict(cell, *chosen);
    }
  }

  void Evict(CellPlacement& cell, Level level) {
    const ClientAccountId victim = cell.VictimAt(level);
    cell.Remove(victim, level);
    ++unplaced_[level][victim];
  }

  void PlaceUnplaced(Level level) {
    for (auto& [account, count] : unplaced_[level]) {
      while (count > 0 && PlaceShape(account, level)) --count;
    }
  }

  /// Assigns one shape to the cell with the fewest of that level and account;
  /// a seeded hash breaks ties.
  /// @return false if no cell can hold it.
  bool PlaceShape(const ClientAccountId& account, Level level) {
    CellPlacement* best = nullptr;
    std::tuple<std::uint64_t, std::uint64_t> best_rank;
    const std::uint64_t seed =
        DigestOf(account.value).value + static_cast<std::uint64_t>(level);
    for (CellPlacement& cell : cells_) {
      ShapeCounts with = cell.total();
      ++with[level];
      if (!cell.CanHold(with)) continue;
      const std::tuple rank(cell.CountOf(account, level),
                            SeededHash(cell.id().value, seed));
      if (best != nullptr && rank >= best_rank) continue;
      best = &cell;
      best_rank = rank;
    }
    if (best == nullptr) best = MakeRoom(level);
    if (best == nullptr) return false;
    best->Add(account, level, 1);
    return true;
  }

  /// Evicts smaller shapes from the cell that needs the fewest evictions. They
  /// are placed again later, because levels are placed from the largest down.
  /// @return the cell, or null if evicting smaller shapes frees enough in none.
  CellPlacement* MakeRoom(Level level) {
    CellPlacement* best = nullptr;
    std::vector<Level> best_evictions;
    for (CellPlacement& cell : cells_) {
      const std::optional<std::vector<Level>> evictions =
          EvictionsFor(cell, level);
      if (!evictions) continue;
      if (best != nullptr && evictions->size() >= best_evictions.size()) {
        continue;
      }
      best = &cell;
      best_evictions = *evictions;
    }
    for (const Level evicted : best_evictions) Evict(*best, evicted);
    return best;
  }

  /// @return the levels of the shapes to evict, largest first, or nothing if
  ///     evicting all smaller shapes does not suffice.
  static std::optional<std::vector<Level>> EvictionsFor(CellPlacement& cell,
                                                        Level level) {
    ShapeCounts counts = cell.total();
    ++counts[level];
    std::vector<Level> evictions;
    for (Level smaller = level; smaller-- > 0;) {
      while (counts[smaller] > 0) {
        --counts[smaller];
        evictions.push_back(smaller);
        if (cell.CanHold(counts)) return evictions;
      }
    }
    return std::nullopt;
  }

  SplitResult BuildResult() const {
    SplitResult result;
    for (const CellPlacement& cell : cells_) {
      CellShare& share = result.shares[cell.id()];
      share.revision = configuration_.revision;
      for (const auto& [id, account] : configuration_.accounts) {
        share.accounts.push_back(ShareOf(cell, account));
      }
    }
    for (Level level = 0; level < kShapeLevels; ++level) {
      for (const auto& [account, count] : unplaced_[level]) {
        if (count == 0) continue;
        const Guarantee missing{static_cast<ShapeLevel>(level),
                                static_cast<std::uint32_t>(count)};
        result.unplaced.push_back({account, missing});
      }
    }
    return result;
  }

  /// @return the account with only the guarantees of this cell.
  static ClientAccount ShareOf(const CellPlacement& cell,
                               const ClientAccount& account) {
    ClientAccount share = account;
    share.guarantees.clear();
    for (Level level = 0; level < kShapeLevels; ++level) {
      const std::uint64_t count = cell.CountOf(account.id, level);
      if (count == 0) continue;
      share.guarantees.push_back(
          {static_cast<ShapeLevel>(level), static_cast<std::uint32_t>(count)});
    }
    return share;
  }

  const Configuration& configuration_;
  std::vector<CellPlacement> cells_;
  // Shapes not assigned to a cell, by level.
  std::array<std::map<ClientAccountId, std::uint64_t>, kShapeLevels> unplaced_;
};

}  // namespace

SplitResult Split(const Configuration& configuration,
                  const std::vector<CellTopology>& cells,
                  const std::map<CellId, CellShare>& previous) {
  return Splitter(configuration, cells).Run(previous);
}

}  // namespace jasminespar::configuration
