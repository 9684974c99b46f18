/// @file
/// Difference between two versions of the configuration, for instances that
/// already hold the older one.

#ifndef JASMINESPAR_JOBS_CONFIGURATION_CHANGE_H_
#define JASMINESPAR_JOBS_CONFIGURATION_CHANGE_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/jobs/site_configuration.h"

namespace jasminespar::jobs {

/// Identifies a queue within one version.
struct QueueRoute {
  QueueId name;
  std::string host;
  std::string prefix;
  auto operator<=>(const QueueRoute&) const = default;
};

struct ConfigurationChange {
  Revision base;     ///< 0 when the change is the whole configuration.
  Revision version;  ///< Result of the change.
  std::vector<QueueRoute> removed_queues;
  std::vector<QueueConfiguration> queues;  ///< Added, or changed, as they are.
  std::vector<ClientAccountId> removed_accounts;
  std::vector<AccountConfiguration> accounts;  ///< Added or changed.
  std::size_t max_body_bytes = 0;
};

/// @param base null for the whole configuration.
[[nodiscard]] ConfigurationChange DifferenceOf(const SiteConfiguration* base,
                                               const SiteConfiguration& target);

/// @param base null when there is no configuration yet.
/// @return the configuration after the change, whose queues may be in another
///     order than the operator's; nothing when the change has another base.
[[nodiscard]] std::optional<SiteConfiguration> Apply(
    const SiteConfiguration* base, ConfigurationChange change);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_CONFIGURATION_CHANGE_H_
