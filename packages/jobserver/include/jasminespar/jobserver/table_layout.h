/// @file
/// Tables, partitions and keys under which a cell stores its rows in the
/// site's table service.

#ifndef JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_
#define JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminespar/core/digest.h"
#include "jasminespar/jobs/job.h"
#include "jasminespar/site/table.h"

namespace jasminespar::jobserver {

/// Partition of the rows that the owner writes. Its own row is there too, so
/// that one transaction can change both.
inline constexpr std::string_view kCellPartition = "c0";

/// Partitions of the rows that callers' requests write. A partition carries out
/// its transactions one after another, and a slow table only a few a second, so
/// these rows are spread over several.
inline constexpr std::array<std::string_view, 16> kJobPartitions{
    "j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7",
    "j8", "j9", "ja", "jb", "jc", "jd", "je", "jf"};

inline constexpr std::string_view kOwnerTable = "owner";
inline constexpr std::string_view kOwnerKey = "owner";
inline constexpr std::string_view kJobTable = "jobs";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr char kRangeSeparator = '.';
/// Statuses shown to callers, and their cancellations. A status is in the job's
/// partition from acceptance on, and also in the owner's partition once the
/// owner knows of the job.
inline constexpr std::string_view kStatusTable = "states";
/// Workers that may have runs of this cell.
inline constexpr std::string_view kWorkerTable = "workers";

/// Configurations of queues that have changed while they had jobs.
inline constexpr std::string_view kQueueTable = "queues";

/// Instances that serve jobs, by name, with the address of their peer link.
inline constexpr std::string_view kMemberTable = "members";

/// The key of a cancellation is this prefix and the job's id.
inline constexpr std::string_view kCancellationPrefix = "x";

/// @return the key of a row that the owner writes.
[[nodiscard]] inline site::RowKey CellRowKey(std::string_view table,
                                             std::string_view key) {
  return {std::string(table), std::string(kCellPartition), std::string(key)};
}

[[nodiscard]] inline site::RowKey OwnerRowKey() {
  return CellRowKey(kOwnerTable, kOwnerKey);
}

/// @return the key of the record of a queue: a hash, as its name may be longer
///     than a key may be.
[[nodiscard]] inline site::RowKey QueueRowKey(const jobs::QueueId& queue) {
  return CellRowKey(kQueueTable, std::to_string(SeededHash(queue.value, 0)));
}

/// @param first_task position of the first task of the row's range.
/// @return the key of a row of a job's progress: its id, and for another than
///     its first range a separator and the position.
[[nodiscard]] inline site::RowKey ProgressRowKey(const jobs::JobId& job,
                                                 std::uint32_t first_task) {
  std::string key = job.value;
  if (first_task > 0) key += kRangeSeparator + std::to_string(first_task);
  return CellRowKey(kProgressTable, key);
}

/// @param key of a row of the job's progress.
/// @return position of the first task of the row's range; nothing if the key is
///     none that ProgressRowKey makes for the job.
[[nodiscard]] inline std::optional<std::uint32_t> FirstTaskOf(
    const jobs::JobId& job, std::string_view key) {
  if (!key.starts_with(job.value)) return std::nullopt;
  key.remove_prefix(job.value.size());
  if (key.empty()) return 0;
  if (key.front() != kRangeSeparator) return std::nullopt;
  key.remove_prefix(1);
  std::uint32_t first_task = 0;
  const char* const end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data(), end, first_task);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return first_task;
}

/// @return the partition that holds the rows of a job, by the hash of its id.
[[nodiscard]] inline std::string_view JobPartitionOf(const jobs::JobId& job) {
  return kJobPartitions[SeededHash(job.value, 0) % kJobPartitions.size()];
}

/// @return the key of a row that callers' requests write, in the partition of
///     the job.
[[nodiscard]] inline site::RowKey JobRowKey(std::string_view table,
                                            const jobs::JobId& job) {
  return {std::string(table), std::string(JobPartitionOf(job)), job.value};
}

[[nodiscard]] inline site::RowKey CancellationKey(const jobs::JobId& job) {
  return {std::string(kStatusTable), std::string(JobPartitionOf(job)),
          std::string(kCancellationPrefix) + job.value};
}

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_TABLE_LAYOUT_H_
