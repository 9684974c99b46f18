/// @file
/// Where a cell keeps what in the site's table.

#ifndef JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_
#define JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_

#include <array>
#include <string>
#include <string_view>

#include "jasminespar/core/digest.h"
#include "jasminespar/jobs/job.h"
#include "jasminespar/site/table.h"

namespace jasminespar::jobserver {

/// What the owner writes shares one part with its own row, so that one
/// transaction can change both.
inline constexpr std::string_view kCellPart = "c0";

/// What callers' requests write is spread over these parts: a part carries out
/// one transaction after another, and a slow table only a few a second.
inline constexpr std::array<std::string_view, 16> kJobParts{
    "j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7",
    "j8", "j9", "ja", "jb", "jc", "jd", "je", "jf"};

inline constexpr std::string_view kOwnerTable = "owner";
inline constexpr std::string_view kOwnerKey = "owner";
inline constexpr std::string_view kJobTable = "jobs";
inline constexpr std::string_view kProgressTable = "progress";
/// What callers are shown, in the owner's part once the owner knows of the job
/// and in the job's part from its acceptance on; and their cancellations.
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

[[nodiscard]] inline std::string_view JobPartOf(const jobs::JobId& job) {
  return kJobParts[SeededHash(job.value, 0) % kJobParts.size()];
}

/// @return the key of a row that callers' requests write.
[[nodiscard]] inline site::RowKey JobRow(std::string_view table,
                                         const jobs::JobId& job) {
  return {std::string(table), std::string(JobPartOf(job)), job.value};
}

[[nodiscard]] inline site::RowKey CancellationKey(const jobs::JobId& job) {
  return {std::string(kStatusTable), std::string(JobPartOf(job)),
          std::string(kCancellationPrefix) + job.value};
}

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_
