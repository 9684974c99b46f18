/// @file
/// Data centres that the operator has emptied, as the owner of a cell reads
/// them, and how current that reading must be.

#ifndef JASMINESPAR_JOBS_EVACUATION_H_
#define JASMINESPAR_JOBS_EVACUATION_H_

#include <algorithm>
#include <set>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// The operator's rows were read, all of them.
struct EvacuationsRead {
  std::set<DataCentreId> emptied;
  TimePoint as_of;  ///< Every row acknowledged before is in `emptied`.
};

/// Whatever the operator empties is acknowledged after the last reading, so a
/// start that is sent within this time of it leaves half of the bound for its
/// transit, and for a table that answers with somewhat older rows.
/// @param within time after which nothing may start in an emptied data centre.
/// @return age of the last reading from which on nothing starts anywhere.
[[nodiscard]] constexpr Duration MaxEvacuationsAge(Duration within) noexcept {
  return within / 2;
}

/// @return time between two readings; several of them fit into the age above.
[[nodiscard]] constexpr Duration EvacuationsInterval(Duration within) noexcept {
  return std::min<Duration>(1s, within / 8);
}

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_EVACUATION_H_
