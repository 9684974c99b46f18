/// @file
/// Submissions whose write may still be carried out, here and at peers.

#ifndef JASMINESPAR_JOBS_UNSETTLED_SUBMISSIONS_H_
#define JASMINESPAR_JOBS_UNSETTLED_SUBMISSIONS_H_

#include <map>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// A caller whose first attempt ended unknown asks again at any instance. That
/// one must not say that the job never runs while the first instance's write
/// may still be carried out. Not thread-safe.
class UnsettledSubmissions {
 public:
  /// A write without an answer may be carried out this much later.
  static constexpr Duration kLateWriteTimeout = 12s;

  /// Submissions that one instance tells its peers of, at most.
  static constexpr std::size_t kMaxTold = 24;

  /// A submission here ended without a known outcome.
  void Add(const JobId& job, TimePoint now);

  /// Its outcome is known now.
  /// @return whether it was one of this instance's own.
  bool Settle(const JobId& job);

  /// @return this instance's own, the newest first.
  [[nodiscard]] std::vector<JobId> OwnSubmissions(TimePoint now);

  /// Takes in what a peer says of itself.
  void HandlePeerReport(const InstanceId& peer, const std::vector<JobId>& jobs,
                        TimePoint now);

  /// @return whether some instance's write of the job may still be carried out.
  [[nodiscard]] bool MayBeStored(const JobId& job, TimePoint now) const;

 private:
  std::map<JobId, TimePoint> own_;  ///< When it was given up.
  std::map<JobId, std::map<InstanceId, TimePoint>> peers_;  ///< Last heard.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_UNSETTLED_SUBMISSIONS_H_
