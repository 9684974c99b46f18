/// @file
/// A setting that is on or off.

#ifndef JASMINESPAR_CORE_SWITCH_H_
#define JASMINESPAR_CORE_SWITCH_H_

#include <cstdint>

#include "jasminespar/core/name_table.h"

namespace jasminespar {

enum class Switch : std::uint8_t { kOff, kOn };

inline constexpr NameTable<Switch, 2> kSwitchNames{{
    {Switch::kOff, "off", "The part does nothing."},
    {Switch::kOn, "on", "The part acts where something calls for it."},
}};
static_assert(IsDense(kSwitchNames));

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_SWITCH_H_
