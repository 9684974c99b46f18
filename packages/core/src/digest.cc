#include "jasminespar/core/digest.h"

#include <xxhash.h>

namespace jasminespar {

Digest DigestOf(std::string_view bytes) noexcept {
  return Digest{XXH3_64bits(bytes.data(), bytes.size())};
}

std::uint64_t SeededHash(std::string_view bytes, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace jasminespar
