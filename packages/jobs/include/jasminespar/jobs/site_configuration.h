/// @file
/// The operator's configuration of queues, services and client accounts.

#ifndef JASMINESPAR_JOBS_SITE_CONFIGURATION_H_
#define JASMINESPAR_JOBS_SITE_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/jobs/job.h"

namespace jasminespar::jobs {

/// A queue that callers reach by host and longest path prefix.
struct QueueConfiguration {
  QueueId name;
  std::string host;
  std::string prefix;
  ServiceId service;  ///< Its workers run the queue's tasks.
  bool is_public = false;
  std::uint32_t priority = 0;  ///< 0 comes first and may preempt the others.
  std::uint32_t max_attempts = 1;
  double slack_factor = 1.0;
  Duration target_runtime{};  ///< Allowed on top of the slack.
};

struct AccountConfiguration {
  ClientAccountId name;
  std::set<std::string, std::less<>> keys;
  std::int64_t guaranteed_accelerators = 0;  ///< For jobs of priority 0.
};

/// One version of the configuration, complete.
struct SiteConfiguration {
  Revision version;
  std::vector<QueueConfiguration> queues;
  std::vector<AccountConfiguration> accounts;
  std::size_t max_body_bytes = 0;  ///< Of a caller's request; 0: no limit.

  /// @return the queue of a request, or null.
  /// @param host as the request names it, with or without a port.
  [[nodiscard]] const QueueConfiguration* FindQueueByRoute(
      std::string_view host, std::string_view path) const;

  /// @return the queue of that name, or null.
  [[nodiscard]] const QueueConfiguration* FindQueue(const QueueId& name) const;

  /// @return the account that holds the key, or null.
  [[nodiscard]] const AccountConfiguration* FindAccountByKey(
      std::string_view key) const;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SITE_CONFIGURATION_H_
