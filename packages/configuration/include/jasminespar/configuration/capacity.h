/// @file
/// Checks whether the workers of one cell can hold given shapes together.

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

/// Capacity of the live workers of one cell. Not thread-safe.
///
/// Shapes are aligned subtrees: a pair is two accelerators, a quad two pairs,
/// a worker all of its quads and leftover accelerators, a rack all of its
/// workers. Placing larger shapes first, in the smallest racks and workers,
/// therefore leaves the most capacity for smaller shapes.
class CellCapacity {
 public:
  explicit CellCapacity(const CellTopology& topology);

  /// @return whether the shapes fit together without overlap. O(1) except for
  ///     the first call with a given number of racks.
  [[nodiscard]] bool Fits(const ShapeCounts& counts);

 private:
  /// Shapes that fit outside the allocated racks, by number of workers (the
  /// smallest ones) that are allocated whole.
  struct Remainder {
    std::vector<std::uint64_t> quads;
    std::vector<std::uint64_t> pairs;
    std::vector<std::uint64_t> accelerators;
  };

  /// Allocates the `racks` smallest racks. Caches the result.
  const Remainder& RemainderWithout(std::size_t racks);

  std::vector<std::vector<int>> racks_;  // Worker sizes, smallest rack first.
  std::map<std::size_t, Remainder> remainders_;  // By number of racks.
};

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_CAPACITY_H_
