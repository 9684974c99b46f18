/// @file
/// Judges whether the owner named by a cell's row does its duty.

#ifndef JASMINESPAR_MEMBERSHIP_VACANCY_H_
#define JASMINESPAR_MEMBERSHIP_VACANCY_H_

#include <cstdint>

#include "jasminespar/core/name_table.h"
#include "jasminespar/membership/ownership_row.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// Why a cell needs a new owner, or that it needs none.
enum class Vacancy : std::uint8_t {
  kNone,
  kOutdatedRow,
  kReleased,
  kOwnRow,
  kSuspectedOwner,
  kUnknownOwner,
  kSilentOwner,
};

inline constexpr NameTable<Vacancy, 7> kVacancyNames{{
    {Vacancy::kNone, "none", "A living owner serves the cell."},
    {Vacancy::kOutdatedRow, "outdated_row",
     "Heartbeats told of a later epoch than the row that was read."},
    {Vacancy::kReleased, "released", "The row names no owner."},
    {Vacancy::kOwnRow, "own_row",
     "The row names this instance, which does not hold the cell."},
    {Vacancy::kSuspectedOwner, "suspected_owner", "The owner is silent."},
    {Vacancy::kUnknownOwner, "unknown_owner",
     "The owner is neither listed nor heard."},
    {Vacancy::kSilentOwner, "silent_owner",
     "The owner is alive and does not say that it owns the cell."},
}};
static_assert(IsDense(kVacancyNames));

/// @param row of the cell, as last read.
/// @return the vacancy of a cell that `view.self` does not hold.
[[nodiscard]] Vacancy VacancyOf(const View& view, const OwnershipRow& row);

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_VACANCY_H_
