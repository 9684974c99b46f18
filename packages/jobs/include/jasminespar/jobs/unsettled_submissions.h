/// @file
/// Submissions with an unknown outcome, at this instance and at its peers.

#ifndef JASMINESPAR_JOBS_UNSETTLED_SUBMISSIONS_H_
#define JASMINESPAR_JOBS_UNSETTLED_SUBMISSIONS_H_

#include <map>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// A caller whose submission ended with an unknown outcome may retry at any
/// instance. That instance must not answer that the job will never run while
/// the write of the first instance may still be carried out. Not thread-safe.
class UnsettledSubmissions {
 public:
  /// Longest time after which an unanswered write may still be carried out.
  static constexpr Duration kLateWriteTimeout = 12s;

  /// Most submissions that an instance reports to its peers; about as many as
  /// a datagram of ten kilobytes holds.
  static constexpr std::size_t kMaxReported = 400;

  /// Records that a submission at this instance has an unknown outcome.
  void Add(const JobId& job, TimePoint now);

  /// Removes a submission of this instance whose outcome is now known.
  /// @return whether it was recorded.
  bool Settle(const JobId& job);

  /// Drops submissions older than kLateWriteTimeout.
  /// @return at most kMaxReported of this instance's own, newest first.
  [[nodiscard]] std::vector<JobId> OwnSubmissions(TimePoint now);

  /// Replaces what a peer last reported with all that it reports now.
  void HandlePeerReport(const InstanceId& peer, const std::vector<JobId>& jobs,
                        TimePoint now);

  /// @return whether a write of the job, by any instance, may still be carried
  ///     out.
  [[nodiscard]] bool MayBeStored(const JobId& job, TimePoint now) const;

 private:
  std::map<JobId, TimePoint> own_;  ///< Time of the last unknown outcome.
  std::map<JobId, std::map<InstanceId, TimePoint>>
      peers_;  ///< Time of the peer's last report.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_UNSETTLED_SUBMISSIONS_H_
