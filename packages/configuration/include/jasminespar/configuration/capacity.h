/// @file
/// How many shapes of each level the workers of one cell can hold at once.

#ifndef JASMINESPAR_CONFIGURATION_CAPACITY_H_
#define JASMINESPAR_CONFIGURATION_CAPACITY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"

namespace jasminespar::configuration {

inline constexpr std::size_t kShapeLevels = kShapeLevelNames.size();

/// Number of shapes, indexed by ShapeLevel.
using ShapeCounts = std::array<std::uint64_t, kShapeLevels>;

/// Capacity of the live workers of one cell.
///
/// Shapes nest as aligned subtrees: a pair is two accelerators, a quad two
/// pairs, a worker all of its quads and what is left over, a rack all of its
/// workers. Filling the larger levels first, from the smallest racks and
/// workers, then leaves the most room below.
class CellCapacity {
 public:
  explicit CellCapacity(const CellTopology& topology);

  /// @return whether all shapes fit side by side; O(1) after the first
  ///     question with that number of racks.
  [[nodiscard]] bool Fits(const ShapeCounts& counts);

 private:
  /// What workers hold once the smallest ones are taken; index is how many.
  struct Rest {
    std::vector<std::uint64_t> quads;
    std::vector<std::uint64_t> pairs;
    std::vector<std::uint64_t> accelerators;
  };

  const Rest& RestWithout(std::size_t racks);

  std::vector<std::vector<int>> racks_;  // Worker sizes, smallest rack first.
  std::map<std::size_t, Rest> rests_;    // By number of racks taken.
};

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_CAPACITY_H_
