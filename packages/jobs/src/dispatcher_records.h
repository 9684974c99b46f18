/// @file
/// Small records that a dispatcher keeps or passes between its functions.
/// Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_DISPATCHER_RECORDS_H_
#define JASMINESPAR_JOBS_SRC_DISPATCHER_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jasminespar/jobs/messages.h"
#include "job_table.h"

namespace jasminespar::jobs {

/// A step with waiting tasks and its keys in the order of service.
struct WaitingStep {
  JobState* job = nullptr;
  StepState* step = nullptr;
  bool no_value = false;  ///< So late that the job no longer earns anything.
  bool late = false;      ///< Cannot finish in time to earn in full.
  std::uint32_t priority = 0;
  Duration age{};
};

/// An order that a worker has not answered yet.
struct PendingOrder {
  OrderNumber number;
  WorkerName worker;
  TaskName task;  ///< Unset for a poll.
  RunNumber run;
  TimePoint sent_at;
  std::uint64_t acknowledge_to = 0;  ///< Of a poll.
  enum class Kind : std::uint8_t { kStart, kStop, kPoll } kind = Kind::kPoll;
};

/// A cancellation of a job that is not known.
struct EarlyCancellation {
  TimePoint since;
  /// When the deletion of its row was last requested.
  std::optional<TimePoint> deletion_requested_at;
};

/// A commit that is being filled.
struct CommitDraft {
  Commit& commit;
  std::size_t tasks = 0;  ///< Whose progress it holds.
  std::size_t bytes = 0;  ///< Of its progress.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_DISPATCHER_RECORDS_H_
