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

/// Shapes that one cell holds, by account and in sum.
class CellLoad {
 public:
  explicit CellLoad(const CellTopology& topology)
      : id_(topology.id), capacity_(topology) {}

  [[nodiscard]] const CellId& id() const noexcept { return id_; }
  [[nodiscard]] std::uint64_t CountOf(const ClientAccountId& account,
                                      Level level) const {
    const auto found = counts_.find(account);
    return found == counts_.end() ? 0 : found->second[level];
  }

  void Add(const ClientAccountId& account, Level level, std::uint64_t n) {
    counts_[account][level] += n;
    sum_[level] += n;
  }
  void Remove(const ClientAccountId& account, Level level) {
    --counts_[account][level];
    --sum_[level];
  }

  [[nodiscard]] bool Fits() { return capacity_.Fits(sum_); }
  [[nodiscard]] bool FitsWith(const ShapeCounts& sum) {
    return capacity_.Fits(sum);
  }
  [[nodiscard]] const ShapeCounts& sum() const noexcept { return sum_; }

  /// @return the account that gives up a shape of that level: the one with
  ///     most of them here, then the last by id.
  [[nodiscard]] ClientAccountId GiverAt(Level level) const {
    const ClientAccountId* giver = nullptr;
    std::uint64_t most = 0;
    for (const auto& [account, counts] : counts_) {
      if (counts[level] < std::max<std::uint64_t>(most, 1)) continue;
      giver = &account;
      most = counts[level];
    }
    return *giver;
  }

 private:
  CellId id_;
  CellCapacity capacity_;
  ShapeCounts sum_{};
  std::map<ClientAccountId, ShapeCounts> counts_;
};

class Splitter {
 public:
  Splitter(const Configuration& configuration,
           const std::vector<CellTopology>& cells)
      : configuration_(configuration) {
    for (const CellTopology& cell : cells) loads_.emplace_back(cell);
    for (const auto& [id, account] : configuration.accounts) {
      for (Level level = 0; level < kShapeLevels; ++level) {
        const auto count = jasminespar::configuration::CountOf(
            account, static_cast<ShapeLevel>(level));
        if (count > 0) waiting_[level][id] = count;
      }
    }
  }

  SplitResult Run(const std::map<CellId, CellShare>& previous) {
    for (CellLoad& load : loads_) Keep(load, previous);
    for (CellLoad& load : loads_) ShedUntilFitting(load);
    for (Level level = kShapeLevels; level-- > 0;) PlaceAll(level);
    return Finish();
  }

 private:
  /// Takes over the earlier shapes, as far as they are still guaranteed.
  void Keep(CellLoad& load, const std::map<CellId, CellShare>& previous) {
    const auto share = previous.find(load.id());
    if (share == previous.end()) return;
    for (const ClientAccount& account : share->second.accounts) {
      for (const Guarantee& guarantee : account.guarantees) {
        const auto level = static_cast<Level>(guarantee.level);
        const auto waiting = waiting_[level].find(account.id);
        if (waiting == waiting_[level].end()) continue;
        const std::uint64_t kept =
            std::min<std::uint64_t>(waiting->second, guarantee.count);
        waiting->second -= kept;
        load.Add(account.id, level, kept);
      }
    }
  }

  /// After workers were lost: gives up as few shapes as possible. One shape
  /// that suffices alone is taken from the lowest level; otherwise the
  /// largest goes, which makes the most room.
  void ShedUntilFitting(CellLoad& load) {
    while (!load.Fits()) {
      std::optional<Level> chosen;
      for (Level level = 0; level < kShapeLevels; ++level) {
        if (load.sum()[level] == 0) continue;
        chosen = level;
        ShapeCounts without = load.sum();
        --without[level];
        if (load.FitsWith(without)) break;
      }
      Evict(load, *chosen);
    }
  }

  void Evict(CellLoad& load, Level level) {
    const ClientAccountId giver = load.GiverAt(level);
    load.Remove(giver, level);
    ++waiting_[level][giver];
  }

  void PlaceAll(Level level) {
    for (auto& [account, count] : waiting_[level]) {
      while (count > 0 && PlaceOne(account, level)) --count;
    }
  }

  bool PlaceOne(const ClientAccountId& account, Level level) {
    CellLoad* best = nullptr;
    std::tuple<std::uint64_t, std::uint64_t> best_rank;
    const std::uint64_t seed =
        DigestOf(account.value).value + static_cast<std::uint64_t>(level);
    for (CellLoad& load : loads_) {
      ShapeCounts with = load.sum();
      ++with[level];
      if (!load.FitsWith(with)) continue;
      const std::tuple rank(load.CountOf(account, level),
                            SeededHash(load.id().value, seed));
      if (best != nullptr && rank >= best_rank) continue;
      best = &load;
      best_rank = rank;
    }
    if (best == nullptr) best = MakeRoom(level);
    if (best == nullptr) return false;
    best->Add(account, level, 1);
    return true;
  }

  /// Evicts smaller shapes where the fewest have to go; they are placed again
  /// afterwards, since levels are placed from the largest down.
  /// @return the cell, or null when larger and equal shapes fill them all.
  CellLoad* MakeRoom(Level level) {
    CellLoad* best = nullptr;
    std::vector<Level> best_evictions;
    for (CellLoad& load : loads_) {
      const std::optional<std::vector<Level>> evictions =
          EvictionsFor(load, level);
      if (!evictions) continue;
      if (best != nullptr && evictions->size() >= best_evictions.size()) {
        continue;
      }
      best = &load;
      best_evictions = *evictions;
    }
    for (const Level evicted : best_evictions) Evict(*best, evicted);
    return best;
  }

  /// @return the levels of the shapes to evict, largest first, or nothing.
  static std::optional<std::vector<Level>> EvictionsFor(CellLoad& load,
                                                        Level level) {
    ShapeCounts counts = load.sum();
    ++counts[level];
    std::vector<Level> evictions;
    for (Level smaller = level; smaller-- > 0;) {
      while (counts[smaller] > 0) {
        --counts[smaller];
        evictions.push_back(smaller);
        if (load.FitsWith(counts)) return evictions;
      }
    }
    return std::nullopt;
  }

  SplitResult Finish() const {
    SplitResult result;
    for (const CellLoad& load : loads_) {
      CellShare& share = result.shares[load.id()];
      share.revision = configuration_.revision;
      for (const auto& [id, account] : configuration_.accounts) {
        share.accounts.push_back(CutTo(load, account));
      }
    }
    for (Level level = 0; level < kShapeLevels; ++level) {
      for (const auto& [account, count] : waiting_[level]) {
        if (count == 0) continue;
        const Guarantee missing{static_cast<ShapeLevel>(level),
                                static_cast<std::uint32_t>(count)};
        result.unplaced.push_back({account, missing});
      }
    }
    return result;
  }

  static ClientAccount CutTo(const CellLoad& load,
                             const ClientAccount& account) {
    ClientAccount cut = account;
    cut.guarantees.clear();
    for (Level level = 0; level < kShapeLevels; ++level) {
      const std::uint64_t count = load.CountOf(account.id, level);
      if (count == 0) continue;
      cut.guarantees.push_back(
          {static_cast<ShapeLevel>(level), static_cast<std::uint32_t>(count)});
    }
    return cut;
  }

  const Configuration& configuration_;
  std::vector<CellLoad> loads_;
  // Shapes without a cell, by level.
  std::array<std::map<ClientAccountId, std::uint64_t>, kShapeLevels> waiting_;
};

}  // namespace

SplitResult Split(const Configuration& configuration,
                  const std::vector<CellTopology>& cells,
                  const std::map<CellId, CellShare>& previous) {
  return Splitter(configuration, cells).Run(previous);
}

}  // namespace jasminespar::configuration
