/// @file
/// Faults of one proxied link and the random choices that they cause.

#ifndef JASMINESPAR_STANDINS_LINK_FAULTS_H_
#define JASMINESPAR_STANDINS_LINK_FAULTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// Direction of bytes through a route.
enum class Direction : std::uint8_t { kToTarget, kToSource };

inline constexpr NameTable<Direction, 2> kDirectionNames{{
    {Direction::kToTarget, "to_target", "From the client to the target."},
    {Direction::kToSource, "to_source", "From the target to the client."},
}};
static_assert(IsDense(kDirectionNames));

struct LinkFaults {
  bool cut_to_target = false;        ///< TCP: hold bytes back. UDP: drop.
  bool cut_to_source = false;        ///< TCP: hold bytes back.
  Duration delay{};                  ///< Of each chunk or datagram.
  double close_probability = 0;      ///< TCP: of closing within a chunk.
  std::uint64_t bytes_per_second{};  ///< TCP: 0 for no limit.
  double drop_probability = 0;       ///< UDP.
  double reorder_probability = 0;    ///< UDP: of an additional delay.
  double duplicate_probability = 0;  ///< UDP.

  [[nodiscard]] bool IsCut(Direction direction) const {
    return direction == Direction::kToTarget ? cut_to_target : cut_to_source;
  }
};

/// @return the faults in a JSON object; an absent key means no such fault.
/// @throws nlohmann::json::exception when a value has the wrong type.
[[nodiscard]] LinkFaults ParseLinkFaults(const nlohmann::json& body);

/// @return the delay of each copy of a datagram; empty when it is dropped.
[[nodiscard]] std::vector<Duration> ChooseDatagramDelays(
    const LinkFaults& faults, std::mt19937_64& random);

/// @return how long the delay and the rate limit hold a chunk back.
[[nodiscard]] Duration ChunkDelay(const LinkFaults& faults, std::size_t bytes);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_LINK_FAULTS_H_
