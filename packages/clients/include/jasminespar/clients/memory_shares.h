/// @file
/// How an instance's memory is shared among the ports that clients and others
/// reach. Each port has its own budget, so that duties share no state and no
/// port can take the memory of another.

#ifndef JASMINESPAR_CLIENTS_MEMORY_SHARES_H_
#define JASMINESPAR_CLIENTS_MEMORY_SHARES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace jasminespar::clients {

/// Bytes that each port may make the instance hold.
struct MemoryShares {
  std::size_t callers = 0;
  std::size_t peers = 0;
  std::size_t probes = 0;  ///< Of the readiness and the metrics port, each.
};

/// @param memory_bytes of the instance.
/// @param percent of it for all ports together.
[[nodiscard]] constexpr MemoryShares SharesOf(std::uint64_t memory_bytes,
                                              std::uint32_t percent) noexcept {
  const std::size_t all = memory_bytes / 100 * percent;
  // 10, 4, 1 and 1 of 16 parts.
  return {all / 16 * 10, all / 16 * 4, all / 16};
}

/// @return the largest body that callers may send while no configuration says
///     it: one body must fit in the share, with its copies.
[[nodiscard]] constexpr std::size_t LargestBody(
    const MemoryShares& shares) noexcept {
  constexpr std::size_t kMost = 8U << 20;
  return std::min(kMost, shares.callers / 4);
}

}  // namespace jasminespar::clients

#endif  // JASMINESPAR_CLIENTS_MEMORY_SHARES_H_
