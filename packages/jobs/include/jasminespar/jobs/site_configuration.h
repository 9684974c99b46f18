/// @file
/// The operator's configuration of queues, services and client accounts.

#ifndef JASMINESPAR_JOBS_SITE_CONFIGURATION_H_
#define JASMINESPAR_JOBS_SITE_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// A queue; requests are routed to it by host and longest path prefix.
struct QueueConfiguration {
  QueueId name;
  std::string host;
  std::string prefix;
  ServiceId service;  ///< Workers of this service run the tasks.
  bool is_public = false;
  std::uint32_t priority = 0;  ///< 0 is the highest and may preempt the others.
  std::uint32_t max_attempts = 1;
  double slack_factor = 1.0;
  Duration target_runtime{};  ///< Added to the slack to give a job's objective.

  bool operator==(const QueueConfiguration&) const = default;
};

struct AccountConfiguration {
  ClientAccountId name;
  std::set<std::string, std::less<>> keys;
  std::int64_t guaranteed_accelerators = 0;  ///< For jobs of priority 0.

  bool operator==(const AccountConfiguration&) const = default;
};

/// One complete version of the configuration.
struct SiteConfiguration {
  Revision version;
  std::vector<QueueConfiguration> queues;
  std::vector<AccountConfiguration> accounts;
  std::size_t max_body_bytes = 0;  ///< Limit on a caller's request; 0: none.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SITE_CONFIGURATION_H_
