/// @file
/// Faults of one forwarded link and the seeded choices they lead to.

#ifndef JASMINESPAR_STANDINS_LINK_FAULTS_H_
#define JASMINESPAR_STANDINS_LINK_FAULTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// Which way bytes go through a route.
enum class Direction : std::uint8_t { kToTarget, kToSource };

inline constexpr NameTable<Direction, 2> kDirectionNames{{
    {Direction::kToTarget, "to_target", "From the client to the target."},
    {Direction::kToSource, "to_source", "From the target to the client."},
}};
static_assert(IsDense(kDirectionNames));

struct LinkFaults {
  bool cut_to_target = false;  ///< Bytes wait until the cut ends.
  bool cut_to_source = false;
  Duration delay{};                  ///< Of each chunk or datagram.
  double close_probability = 0;      ///< TCP: close after part of a chunk.
  std::uint64_t bytes_per_second{};  ///< TCP; 0 for no limit.
  double drop_probability = 0;       ///< UDP.
  double reorder_probability = 0;    ///< UDP.
  double duplicate_probability = 0;  ///< UDP.

  [[nodiscard]] bool IsCut(Direction direction) const {
    return direction == Direction::kToTarget ? cut_to_target : cut_to_source;
  }
};

/// @return the faults that a JSON object names; absent keys mean none.
[[nodiscard]] LinkFaults ParseLinkFaults(const nlohmann::json& body);

/// @return after which delay each copy of a datagram arrives; empty when it
///     is lost.
[[nodiscard]] std::vector<Duration> ChooseDatagramDelays(
    const LinkFaults& faults, std::mt19937_64& random);

/// @return how long a chunk is held back by the delay and the throttle.
[[nodiscard]] Duration ChunkDelay(const LinkFaults& faults, std::size_t bytes);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_LINK_FAULTS_H_
