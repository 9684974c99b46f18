#include "jasminespar/jobs/stall_rule.h"

#include <algorithm>

namespace jasminespar::jobs {

namespace {

/// Share of its run time at its own rate that a run may stand, in percent. A
/// run reports whole percents.
constexpr int kOwnRateShare = 5;

/// The same for a run time that other runs or the estimate suggest. Estimates
/// are off by a factor of several, and workers differ in pace.
constexpr int kExpectedShare = 10;

constexpr int kPercent = 100;

constexpr Duration kMaxPatience = 30 * 24h;

/// One in so many workers of a service may be suspected at a time.
constexpr std::size_t kWorkersPerSuspect = 6;

Duration Double(Duration patience, std::uint32_t times) {
  while (times-- > 0 && patience < kMaxPatience) patience *= 2;
  return std::min(patience, kMaxPatience);
}

}  // namespace

Duration StoodFor(const RunProgress& run) {
  return run.reported_at - run.progressed_at;
}

std::optional<Duration> ShownRunTime(const RunProgress& run) {
  if (!run.rate_since || run.percent <= run.rate_from) return std::nullopt;
  return kPercent * (run.progressed_at - *run.rate_since) /
         (run.percent - run.rate_from);
}

Duration PatienceWith(const RunGroup& group, std::size_t member) {
  const RunProgress& run = group.members[member];
  const std::optional<Duration> own = ShownRunTime(run);
  Duration patience = own ? *own / kPercent * kOwnRateShare
                          : group.fellows_run_time.value_or(group.estimate) /
                                kPercent * kExpectedShare;
  if (run.worker_stands) patience /= 2;
  return Double(std::max(patience, kMinStallPatience), group.stops);
}

std::optional<std::size_t> FindStalled(const RunGroup& group) {
  if (group.members.empty()) return std::nullopt;
  const auto behind =
      std::min_element(group.members.begin(), group.members.end(),
                       [](const RunProgress& a, const RunProgress& b) {
                         if (a.percent != b.percent) {
                           return a.percent < b.percent;
                         }
                         return StoodFor(a) > StoodFor(b);
                       });
  const auto index = static_cast<std::size_t>(behind - group.members.begin());
  if (StoodFor(*behind) < PatienceWith(group, index)) return std::nullopt;
  return index;
}

std::size_t MaxStalledWorkers(std::size_t workers) {
  return std::max<std::size_t>(1, workers / kWorkersPerSuspect);
}

}  // namespace jasminespar::jobs
