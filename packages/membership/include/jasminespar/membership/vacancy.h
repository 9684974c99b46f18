/// @file
/// Determines whether a cell needs a new owner.

#ifndef JASMINESPAR_MEMBERSHIP_VACANCY_H_
#define JASMINESPAR_MEMBERSHIP_VACANCY_H_

#include <cstdint>

#include "jasminespar/core/name_table.h"
#include "jasminespar/membership/ownership_row.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// Why a cell needs a new owner; kNone when it does not.
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
    {Vacancy::kNone, "none", "A live owner serves the cell."},
    {Vacancy::kOutdatedRow, "outdated_row",
     "A heartbeat reported a later epoch than the row that was read."},
    {Vacancy::kReleased, "released", "The row names no owner."},
    {Vacancy::kOwnRow, "own_row",
     "The row names this instance, which does not own the cell."},
    {Vacancy::kSuspectedOwner, "suspected_owner",
     "No heartbeat of the owner arrives."},
    {Vacancy::kUnknownOwner, "unknown_owner",
     "The owner is not listed and sends no heartbeat."},
    {Vacancy::kSilentOwner, "silent_owner",
     "The owner is alive, but its heartbeats do not name the cell."},
}};
static_assert(IsDense(kVacancyNames));

/// @param row the cell's row as last read.
/// @return the vacancy of a cell that `view.self` does not own.
[[nodiscard]] Vacancy VacancyOf(const View& view, const OwnershipRow& row);

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_VACANCY_H_
