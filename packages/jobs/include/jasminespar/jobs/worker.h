/// @file
/// Workers: their entries in the platform's list, their reports and refusals.

#ifndef JASMINESPAR_JOBS_WORKER_H_
#define JASMINESPAR_JOBS_WORKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// Name under which a worker registers itself.
using WorkerName = TextId<struct WorkerNameTag>;

/// Lifetime of a worker process; a restart under the same name has a new one.
using Incarnation = NumericId<struct IncarnationTag>;

/// Milliseconds on the worker's own monotonic clock.
using WorkerClock = NumericId<struct WorkerClockTag>;

/// An entry of the platform's list of workers.
struct WorkerEntry {
  WorkerName name;
  ServiceId service;
  std::string host;
  std::uint16_t port = 0;
  DataCentreId data_centre;
  Incarnation incarnation;
  bool leaving = false;  ///< It is shutting down; it gets no new work.
  /// Shortest time until a leaving worker ends; nothing: unknown.
  std::optional<Duration> time_left;
  WorkerClock clock;  ///< When the entry was written; zero: unknown.
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;
  Duration cold_for{};  ///< It runs slower for this long, after its start.
};

/// A run that a worker reports as active.
struct ListedRun {
  TaskName task;
  RunNumber run;
  std::string checkpoint;     ///< Latest checkpoint; empty: none.
  std::uint32_t percent = 0;  ///< Share of its work that is done.
};

/// A run that a worker reports as ended.
struct EndedRun {
  std::uint64_t number = 0;  ///< Counts from 1 in each incarnation.
  TaskName task;
  RunNumber run;
  RunEnding ending = RunEnding::kStopped;
  std::string checkpoint;
};

/// A worker's answer to PollWorker.
struct WorkerReport {
  WorkerClock clock;
  Incarnation incarnation;
  bool leaving = false;
  std::optional<Duration> time_left;  ///< As in WorkerEntry, at `clock`.
  std::vector<ListedRun> runs;
  std::vector<EndedRun> ends;  ///< Not yet acknowledged, oldest first.
  /// Whether it may have more ends, which it lists once these are acknowledged.
  bool more_ends = false;
  /// Whether every listed run and end could be read.
  bool complete = true;
};

/// Why a worker did not carry out an order.
enum class OrderRefusal : std::uint8_t {
  kFenced,
  kOldRun,
  kLate,
  kNoRoom,
  kNoTicket,
  kMalformed,
  kUnhealthy,
  kOtherIncarnation,
};

inline constexpr NameTable<OrderRefusal, 8> kOrderRefusalNames{{
    {OrderRefusal::kFenced, "fenced", "The worker has seen a later epoch."},
    {OrderRefusal::kOldRun, "old_run", "A later run of the task ended there."},
    {OrderRefusal::kLate, "late", "The lease in the order had expired."},
    {OrderRefusal::kNoRoom, "no_room", "The worker's capacity is in use."},
    {OrderRefusal::kNoTicket, "no_ticket", "The adviser's ticket is invalid."},
    {OrderRefusal::kMalformed, "malformed",
     "The worker cannot decode the order."},
    {OrderRefusal::kUnhealthy, "unhealthy",
     "The worker is unhealthy and refuses work."},
    {OrderRefusal::kOtherIncarnation, "other_incarnation",
     "The order names another incarnation of the worker."},
}};
static_assert(IsDense(kOrderRefusalNames));

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_WORKER_H_
