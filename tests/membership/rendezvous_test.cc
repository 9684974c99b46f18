#include "jasminespar/membership/rendezvous.h"

#include <catch2/catch.hpp>
#include <map>

namespace jasminespar::membership {
namespace {

std::vector<InstanceId> Instances(int count) {
  std::vector<InstanceId> instances;
  for (int i = 0; i < count; ++i) {
    instances.push_back(InstanceId{"a" + std::to_string(i)});
  }
  return instances;
}

CellId Cell(int index) { return CellId{"dc-a/" + std::to_string(index)}; }

TEST_CASE("Without candidates no owner is chosen") {
  CHECK_FALSE(ChooseOwner(Cell(0), {}).has_value());
}

TEST_CASE("An instance that leaves moves only its own cells") {
  const std::vector<InstanceId> all = Instances(8);
  std::vector<InstanceId> fewer = all;
  fewer.erase(fewer.begin() + 3);
  for (int i = 0; i < 1000; ++i) {
    const InstanceId before = *ChooseOwner(Cell(i), all);
    if (before != all[3]) CHECK(*ChooseOwner(Cell(i), fewer) == before);
  }
}

TEST_CASE("Cells are distributed evenly") {
  std::map<InstanceId, int> cells;
  for (int i = 0; i < 8000; ++i) ++cells[*ChooseOwner(Cell(i), Instances(8))];
  for (const auto& [id, count] : cells) {
    CHECK(count > 850);
    CHECK(count < 1150);
  }
}

TEST_CASE("The ranking starts with the chosen owner") {
  for (int i = 0; i < 100; ++i) {
    CHECK(RankCandidates(Cell(i), Instances(5)).front() ==
          *ChooseOwner(Cell(i), Instances(5)));
  }
}

}  // namespace
}  // namespace jasminespar::membership
