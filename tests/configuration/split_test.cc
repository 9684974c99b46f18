#include "jasminespar/configuration/split.h"

#include <catch2/catch.hpp>
#include <random>

#include "configuration/sample.h"
#include "jasminespar/configuration/capacity.h"
#include "jasminespar/configuration/item_keys.h"

namespace jasminespar::configuration {
namespace {

using Shares = std::map<CellId, CellShare>;

std::uint64_t CountIn(const CellShare& share, const ClientAccountId& id,
                      ShapeLevel level) {
  std::uint64_t count = 0;
  for (const ClientAccount& account : share.accounts) {
    if (account.id == id) count += GuaranteedCount(account, level);
  }
  return count;
}

/// Checks that each shape is in exactly one cell or reported as unplaced, and
/// that the shapes of each cell fit in it.
void CheckSplit(const Configuration& configuration,
                const std::vector<CellTopology>& cells,
                const SplitResult& split) {
  for (const auto& [id, account] : configuration.accounts) {
    for (const auto& level : kShapeLevelNames) {
      std::uint64_t total = 0;
      for (const auto& [cell, share] : split.shares) {
        total += CountIn(share, id, level.value);
      }
      for (const UnplacedGuarantee& unplaced : split.unplaced) {
        if (unplaced.account != id) continue;
        if (unplaced.missing.level == level.value) {
          total += unplaced.missing.count;
        }
      }
      REQUIRE(total == GuaranteedCount(account, level.value));
    }
  }
  for (const CellTopology& cell : cells) {
    ShapeCounts counts{};
    for (const ClientAccount& account : split.shares.at(cell.id).accounts) {
      for (const Guarantee& guarantee : account.guarantees) {
        counts[static_cast<std::size_t>(guarantee.level)] += guarantee.count;
      }
    }
    REQUIRE(CellCapacity(cell).Fits(counts));
  }
}

/// @return the number of shapes in another cell in `after` than in `before`.
std::uint64_t CountMoved(const Configuration& configuration,
                         const Shares& before, const Shares& after) {
  std::uint64_t moved = 0;
  for (const auto& [id, account] : configuration.accounts) {
    for (const auto& level : kShapeLevelNames) {
      for (const auto& [cell, share] : after) {
        const std::uint64_t now = CountIn(share, id, level.value);
        const std::uint64_t then = CountIn(before.at(cell), id, level.value);
        if (now > then) moved += now - then;
      }
    }
  }
  return moved;
}

/// @return guarantees that fill the given racks exactly.
Configuration RandomConfiguration(std::mt19937& random, int racks,
                                  int workers_per_rack) {
  int workers = racks * workers_per_rack;
  std::vector<ClientAccount> accounts;
  for (int i = 0; i < 5; ++i) {
    accounts.push_back(MakeAccount("a" + std::to_string(i), {}));
  }
  const auto add_guarantee = [&](ShapeLevel level, std::uint32_t count) {
    ClientAccount& account = accounts[random() % accounts.size()];
    account.guarantees.push_back({level, count});
  };
  const int full_racks = static_cast<int>(random() % (racks / 2 + 1));
  for (int i = 0; i < full_racks; ++i) add_guarantee(ShapeLevel::kRack, 1);
  workers -= full_racks * workers_per_rack;
  for (int i = 0; i < workers; ++i) {
    switch (random() % 4) {
      case 0:
        add_guarantee(ShapeLevel::kWorker, 1);
        break;
      case 1:
        add_guarantee(ShapeLevel::kQuad, 2);
        break;
      case 2:
        add_guarantee(ShapeLevel::kPair, 4);
        break;
      default:
        add_guarantee(ShapeLevel::kAccelerator, 8);
        break;
    }
  }
  return MakeConfiguration(accounts);
}

TEST_CASE(
    "random guarantees that fill the site are all placed, from any "
    "earlier split") {
  std::mt19937 random(20'261);
  const std::vector<CellTopology> cells = MakeCells(4, 3, 4);
  Shares previous;
  for (int run = 0; run < 300; ++run) {
    CAPTURE(run);
    const Configuration configuration = RandomConfiguration(random, 12, 4);
    const SplitResult split = Split(configuration, cells, previous);
    REQUIRE(split.unplaced.empty());
    CheckSplit(configuration, cells, split);
    const SplitResult again = Split(configuration, cells, previous);
    REQUIRE(again.shares == split.shares);
    REQUIRE(Split(configuration, cells, split.shares).shares == split.shares);
    previous = split.shares;
  }
}

TEST_CASE("a lost worker moves at most the shapes that it can hold") {
  std::mt19937 random(20'262);
  for (int run = 0; run < 300; ++run) {
    CAPTURE(run);
    std::vector<CellTopology> cells = MakeCells(3, 3, 4);
    // The guarantees fill seven of the nine racks.
    const Configuration configuration = RandomConfiguration(random, 7, 4);
    const SplitResult before = Split(configuration, cells, {});
    CheckSplit(configuration, cells, before);
    CellTopology& cell = cells[random() % cells.size()];
    cell.workers[random() % cell.workers.size()].state = MachineState::kGone;
    const SplitResult after = Split(configuration, cells, before.shares);
    CheckSplit(configuration, cells, after);
    REQUIRE(after.unplaced.empty());
    REQUIRE(CountMoved(configuration, before.shares, after.shares) <= 8);
  }
}

TEST_CASE("a guarantee that the workers cannot hold is reported") {
  const std::vector<CellTopology> cells = MakeCells(2, 1, 2);
  const Configuration configuration =
      MakeConfiguration({MakeAccount("a", {{ShapeLevel::kWorker, 3}}),
                         MakeAccount("b", {{ShapeLevel::kQuad, 4}})});
  const SplitResult split = Split(configuration, cells, {});
  CheckSplit(configuration, cells, split);
  REQUIRE(split.unplaced.size() == 1);
  CHECK(split.unplaced[0].missing == Guarantee{ShapeLevel::kQuad, 2});
}

TEST_CASE("an account's shapes are spread over the data centres") {
  const std::vector<CellTopology> cells = MakeCells(4, 1, 6);
  const Configuration configuration =
      MakeConfiguration({MakeAccount("a", {{ShapeLevel::kWorker, 8}})});
  for (const auto& [cell, share] : Split(configuration, cells, {}).shares) {
    CHECK(CountIn(share, {"a"}, ShapeLevel::kWorker) == 2);
  }
}

TEST_CASE("workers with odd sizes hold what their aligned subtrees hold") {
  const std::vector<CellTopology> cells = MakeCells(1, 1, 2, 7);
  CellCapacity capacity(cells[0]);
  // Accelerator, pair, quad, worker, rack.
  CHECK(capacity.Fits({14, 0, 0, 0, 0}));
  CHECK(capacity.Fits({4, 1, 2, 0, 0}));
  CHECK_FALSE(capacity.Fits({0, 3, 2, 0, 0}));
  CHECK(capacity.Fits({3, 0, 1, 1, 0}));
  CHECK_FALSE(capacity.Fits({0, 0, 3, 0, 0}));
  CHECK_FALSE(capacity.Fits({1, 0, 0, 0, 1}));
  CHECK_FALSE(capacity.Fits({0, 0, 0, 3, 0}));
}

}  // namespace
}  // namespace jasminespar::configuration
