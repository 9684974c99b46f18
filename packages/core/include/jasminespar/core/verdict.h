/// @file
/// Whether a request may have run. Every error carries a verdict from the
/// lowest layer upwards, so that retry decisions do not rest on guesses.

#ifndef JASMINESPAR_CORE_VERDICT_H_
#define JASMINESPAR_CORE_VERDICT_H_

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "jasminespar/core/name_table.h"

namespace jasminespar {

/// Ordered by how much of the request may have run.
enum class Verdict : std::uint8_t { kNotRun, kMayHaveRun, kRan };

inline constexpr NameTable<Verdict, 3> kVerdictNames{{
    {Verdict::kNotRun, "not_run", "No part of the request ran."},
    {Verdict::kMayHaveRun, "may_have_run", "The request ran or did not run."},
    {Verdict::kRan, "ran", "The request ran to its end."},
}};
static_assert(IsDense(kVerdictNames));

[[nodiscard]] constexpr std::string_view NameOf(Verdict verdict) noexcept {
  return RowOf(kVerdictNames, verdict).name;
}

/// @return the combined verdict of two layers on one request: the greater one,
///     from the layer that observed more of the run.
[[nodiscard]] constexpr Verdict CombineVerdicts(Verdict a, Verdict b) noexcept {
  return std::max(a, b);
}

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_VERDICT_H_
