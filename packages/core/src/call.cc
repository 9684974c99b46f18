#include "jasminespar/core/call.h"

#include <xxhash.h>

namespace jasminespar {

CallId IdOf(const CallKey& key) {
  // The leading lengths make the encoding of each key unique.
  std::string bytes = std::to_string(key.account.value.size()) + ":" +
                      std::to_string(key.service.value.size()) + ":";
  bytes += key.account.value;
  bytes += key.service.value;
  bytes += key.idempotency_key;
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return CallId{hash.high64, hash.low64};
}

}  // namespace jasminespar
