/// @file
/// Faults of the stand-in platform's services.

#ifndef JASMINESPAR_STANDINS_STORE_FAULT_H_
#define JASMINESPAR_STANDINS_STORE_FAULT_H_

#include <cstdint>
#include <variant>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::standins {

enum class StoreFaultMode : std::uint8_t {
  kOk,
  kDown,
  kSlow,
  kLoseAnswers,
  kHang,
};

inline constexpr NameTable<StoreFaultMode, 5> kStoreFaultModeNames{{
    {StoreFaultMode::kOk, "ok", "Works."},
    {StoreFaultMode::kDown, "down", "Answers 503 and does nothing."},
    {StoreFaultMode::kSlow, "slow", "Works after a delay."},
    {StoreFaultMode::kLoseAnswers, "lose_answers",
     "Works, but closes some connections without an answer."},
    {StoreFaultMode::kHang, "hang", "Neither works nor answers."},
}};
static_assert(IsDense(kStoreFaultModeNames));

struct StoreOk {};
struct StoreDown {};
struct StoreSlow {
  Duration delay{};
};
struct StoreLosesAnswers {
  double probability = 1.0;  ///< Of each answer; 0 to 1.
};
struct StoreHangs {};

using StoreFault =
    std::variant<StoreOk, StoreDown, StoreSlow, StoreLosesAnswers, StoreHangs>;

/// @param delay of kSlow.
/// @param probability of kLoseAnswers.
[[nodiscard]] inline StoreFault MakeStoreFault(StoreFaultMode mode,
                                               Duration delay,
                                               double probability) {
  switch (mode) {
    case StoreFaultMode::kOk:
      return StoreOk{};
    case StoreFaultMode::kDown:
      return StoreDown{};
    case StoreFaultMode::kSlow:
      return StoreSlow{delay};
    case StoreFaultMode::kLoseAnswers:
      return StoreLosesAnswers{probability};
    case StoreFaultMode::kHang:
      return StoreHangs{};
  }
  return StoreOk{};
}

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_STORE_FAULT_H_
