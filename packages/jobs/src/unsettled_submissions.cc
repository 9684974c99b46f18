#include "jasminespar/jobs/unsettled_submissions.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {

void UnsettledSubmissions::Add(const JobId& job, TimePoint now) {
  own_[job] = now;
}

bool UnsettledSubmissions::Settle(const JobId& job) {
  return own_.erase(job) > 0;
}

std::vector<JobId> UnsettledSubmissions::OwnSubmissions(TimePoint now) {
  std::erase_if(own_, [&](const auto& entry) {
    return now - entry.second >= kLateWriteTimeout;
  });
  std::vector<std::pair<TimePoint, JobId>> newest;
  newest.reserve(own_.size());
  for (const auto& [job, given_up_at] : own_) {
    newest.emplace_back(given_up_at, job);
  }
  std::sort(newest.rbegin(), newest.rend());
  if (newest.size() > kMaxReported) newest.resize(kMaxReported);
  std::vector<JobId> jobs;
  jobs.reserve(newest.size());
  for (auto& [given_up_at, job] : newest) jobs.push_back(std::move(job));
  return jobs;
}

void UnsettledSubmissions::HandlePeerReport(const InstanceId& peer,
                                            const std::vector<JobId>& jobs,
                                            TimePoint now) {
  for (auto& [job, reports] : peers_) {
    std::erase_if(reports, [&](const auto& report) {
      return report.first == peer || now - report.second >= kLateWriteTimeout;
    });
  }
  std::erase_if(peers_, [](const auto& entry) { return entry.second.empty(); });
  for (const JobId& job : jobs) peers_[job][peer] = now;
}

bool UnsettledSubmissions::MayBeStored(const JobId& job, TimePoint now) const {
  const auto fresh = [&](TimePoint since) {
    return now - since < kLateWriteTimeout;
  };
  const auto own = own_.find(job);
  if (own != own_.end() && fresh(own->second)) return true;
  const auto peers = peers_.find(job);
  return peers != peers_.end() &&
         std::any_of(peers->second.begin(), peers->second.end(),
                     [&](const auto& report) { return fresh(report.second); });
}

}  // namespace jasminespar::jobs
