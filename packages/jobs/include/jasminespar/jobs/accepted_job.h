/// @file
/// A job as it is stored from its acceptance on.

#ifndef JASMINESPAR_JOBS_ACCEPTED_JOB_H_
#define JASMINESPAR_JOBS_ACCEPTED_JOB_H_

#include "jasminespar/jobs/job.h"
#include "jasminespar/jobs/site_configuration.h"

namespace jasminespar::jobs {

/// Configuration of a queue as of a version of the configuration. Its jobs go
/// on under it when a later version drops the queue.
struct QueueRecord {
  Revision revision;  ///< 0: not known.
  QueueConfiguration queue;
  bool operator==(const QueueRecord&) const = default;
};

/// A job as stored in the table from its acceptance on.
struct AcceptedJob {
  JobId id;
  QueueId queue;
  ClientAccountId account;
  WallTime accepted_at;
  JobSpec spec;
  /// Configuration of its queue at its acceptance; a job that an earlier
  /// version of this program stored has none.
  QueueRecord accepted_under;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_ACCEPTED_JOB_H_
