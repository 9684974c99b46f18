/// @file
/// Keys of client accounts and services: names, allowed ranges, parsing and
/// formatting. Used for note files, validation, differences and conflicts.

#ifndef JASMINESPAR_CONFIGURATION_ITEM_KEYS_H_
#define JASMINESPAR_CONFIGURATION_ITEM_KEYS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/core/name_table.h"

namespace jasminespar::configuration {

inline constexpr double kMinWeight = 0.001;
inline constexpr double kMaxWeight = 1000.0;
inline constexpr std::uint32_t kMaxWaitingCallsLimit = 1'000'000;
inline constexpr std::uint32_t kMaxGuaranteeCount = 100'000;
inline constexpr std::uint32_t kMaxBodyBytesLimit = 256U << 20;
inline constexpr Duration kMinDeadline = 1ms;
inline constexpr Duration kMaxDeadline = 24h;
inline constexpr Duration kMinRetention = 1s;
inline constexpr Duration kMaxRetention = 168h;

/// Name, allowed values and description of one key.
template <typename Key>
struct KeyRow {
  Key value;
  std::string_view name;
  std::string_view allowed;
  std::string_view help;
};

enum class AccountKey : std::uint8_t {
  kWeight,
  kMaxWaitingCalls,
  kGuaranteeAccelerator,
  kGuaranteePair,
  kGuaranteeQuad,
  kGuaranteeWorker,
  kGuaranteeRack,
};

inline constexpr std::array<KeyRow<AccountKey>, 7> kAccountKeys{{
    {AccountKey::kWeight, "weight", "0.001 to 1000",
     "Share of the accelerators that no guarantee needs; default 1."},
    {AccountKey::kMaxWaitingCalls, "max_waiting_calls", "1 to 1000000",
     "Calls that may wait in one cell; default 10000."},
    {AccountKey::kGuaranteeAccelerator, "guarantee.accelerator", "0 to 100000",
     "Guaranteed single accelerators; default 0."},
    {AccountKey::kGuaranteePair, "guarantee.pair", "0 to 100000",
     "Guaranteed pairs of adjacent accelerators; default 0."},
    {AccountKey::kGuaranteeQuad, "guarantee.quad", "0 to 100000",
     "Guaranteed fours of adjacent accelerators; default 0."},
    {AccountKey::kGuaranteeWorker, "guarantee.worker", "0 to 100000",
     "Guaranteed whole workers; default 0."},
    {AccountKey::kGuaranteeRack, "guarantee.rack", "0 to 100000",
     "Guaranteed whole racks; default 0."},
}};
static_assert(IsDense(kAccountKeys));

enum class ServiceKey : std::uint8_t {
  kMaxBodyBytes,
  kDefaultDeadline,
  kAnswerRetention,
  kDataCentres,
};

inline constexpr std::array<KeyRow<ServiceKey>, 4> kServiceKeys{{
    {ServiceKey::kMaxBodyBytes, "max_body_bytes", "1B to 256MiB",
     "Longest body of a call; default 1MiB."},
    {ServiceKey::kDefaultDeadline, "default_deadline",
     "1ms to 24h in whole milliseconds",
     "Deadline of a call that names none; default 60s."},
    {ServiceKey::kAnswerRetention, "answer_retention",
     "1s to 168h in whole milliseconds",
     "How long outcomes are kept; default 10min."},
    {ServiceKey::kDataCentres, "data_centres",
     "names of data centres, with commas between",
     "Data centres that may run it; default all."},
}};
static_assert(IsDense(kServiceKeys));

/// @return the key that sets the guarantee of that level.
[[nodiscard]] constexpr AccountKey GuaranteeKey(ShapeLevel level) noexcept {
  return static_cast<AccountKey>(
      static_cast<int>(AccountKey::kGuaranteeAccelerator) +
      static_cast<int>(level));
}

/// @return the sum of the guarantees of that level.
[[nodiscard]] std::uint32_t GuaranteedCount(const ClientAccount& account,
                                            ShapeLevel level);

/// @return the value of one key, as written in a note file.
[[nodiscard]] std::string TextOf(const ClientAccount& account, AccountKey key);
[[nodiscard]] std::string TextOf(const Service& service, ServiceKey key);

/// Parses `text` and assigns it to one key. Does not check the range; see
/// InRange.
/// @return false, with the item unchanged, if the text cannot be parsed.
[[nodiscard]] bool SetFromText(ClientAccount& account, AccountKey key,
                               std::string_view text);
[[nodiscard]] bool SetFromText(Service& service, ServiceKey key,
                               std::string_view text);

/// @return whether the value of the key is in its allowed range.
[[nodiscard]] bool InRange(const ClientAccount& account, AccountKey key);
[[nodiscard]] bool InRange(const Service& service, ServiceKey key);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_ITEM_KEYS_H_
