/// @file
/// Hashes: XXH3 through the xxhash library.

#ifndef JASMINESPAR_CORE_DIGEST_H_
#define JASMINESPAR_CORE_DIGEST_H_

#include <cstdint>
#include <string_view>

namespace jasminespar {

/// Digest of a body, sent beside it to detect damage. Not cryptographic.
struct Digest {
  std::uint64_t value = 0;
  auto operator<=>(const Digest&) const = default;
};

/// @return the XXH3 64-bit digest of `bytes`.
[[nodiscard]] Digest DigestOf(std::string_view bytes) noexcept;

/// @return XXH3 of `bytes` with a seed; used to rank candidates.
[[nodiscard]] std::uint64_t SeededHash(std::string_view bytes,
                                       std::uint64_t seed) noexcept;

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_DIGEST_H_
