/// @file
/// Where a cell keeps what in the site's table.

#ifndef JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_
#define JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_

#include <string>
#include <string_view>

#include "jasminespar/jobs/job.h"
#include "jasminespar/site/table.h"

namespace jasminespar::jobserver {

/// All rows of a cell share one part, so that one transaction can change them.
inline constexpr std::string_view kCellPart = "c0";

inline constexpr std::string_view kOwnerTable = "owner";
inline constexpr std::string_view kOwnerKey = "owner";
inline constexpr std::string_view kJobTable = "jobs";
inline constexpr std::string_view kProgressTable = "progress";
/// What callers are shown, and their cancellations.
inline constexpr std::string_view kStatusTable = "states";
/// Workers that may hold runs of this cell.
inline constexpr std::string_view kWorkerTable = "workers";

/// Instances that serve jobs, by name, with the addresses of their peer links.
inline constexpr std::string_view kMemberTable = "members";

/// A cancellation's key: this and the job's id.
inline constexpr std::string_view kCancellationPrefix = "x";

[[nodiscard]] inline site::RowKey CellRow(std::string_view table,
                                          std::string_view key) {
  return {std::string(table), std::string(kCellPart), std::string(key)};
}

[[nodiscard]] inline site::RowKey OwnerRowKey() {
  return CellRow(kOwnerTable, kOwnerKey);
}

[[nodiscard]] inline site::RowKey CancellationKey(const jobs::JobId& job) {
  return CellRow(kStatusTable, std::string(kCancellationPrefix) + job.value);
}

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_
