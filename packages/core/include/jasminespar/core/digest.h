/// @file
/// Hash functions: XXH3 of the xxHash library.

#ifndef JASMINESPAR_CORE_DIGEST_H_
#define JASMINESPAR_CORE_DIGEST_H_

#include <cstdint>
#include <string_view>

namespace jasminespar {

/// Digest of a body, sent with it to detect corruption. Not cryptographic.
struct Digest {
  std::uint64_t value = 0;
  auto operator<=>(const Digest&) const = default;
};

/// @return the XXH3 64-bit digest of `bytes`.
[[nodiscard]] Digest DigestOf(std::string_view bytes) noexcept;

/// @return the seeded XXH3 64-bit hash of `bytes`; used to rank candidates.
[[nodiscard]] std::uint64_t SeededHash(std::string_view bytes,
                                       std::uint64_t seed) noexcept;

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_DIGEST_H_
