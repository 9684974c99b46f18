/// @file
/// One version of the configuration with indexes, so that the time of a
/// look-up does not depend on the number of queues, accounts or keys.

#ifndef JASMINESPAR_JOBS_CONFIGURATION_SNAPSHOT_H_
#define JASMINESPAR_JOBS_CONFIGURATION_SNAPSHOT_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jasminespar/jobs/site_configuration.h"

namespace jasminespar::jobs {

/// Immutable; shared by the duties of an instance. Pointers that it returns
/// stay valid as long as the snapshot.
class ConfigurationSnapshot {
 public:
  explicit ConfigurationSnapshot(SiteConfiguration content);

  ConfigurationSnapshot(const ConfigurationSnapshot&) = delete;
  ConfigurationSnapshot& operator=(const ConfigurationSnapshot&) = delete;

  [[nodiscard]] const SiteConfiguration& content() const noexcept {
    return content_;
  }
  [[nodiscard]] Revision version() const noexcept { return content_.version; }

  /// @param host of the request, with or without a port.
  /// @return the queue with the longest prefix of the path, or null. Takes time
  ///     in proportion to the length of the path.
  [[nodiscard]] const QueueConfiguration* FindQueueByRoute(
      std::string_view host, std::string_view path) const;

  /// @return the queue of that name, or null.
  [[nodiscard]] const QueueConfiguration* FindQueue(const QueueId& name) const;

  /// @return the account with that API key, or null.
  [[nodiscard]] const AccountConfiguration* FindAccountByKey(
      std::string_view key) const;

 private:
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename Key>
  using Index = std::unordered_map<Key, std::size_t, TextHash, std::equal_to<>>;

  SiteConfiguration content_;
  /// By host, separator and prefix.
  Index<std::string> queues_by_route_;
  std::size_t longest_prefix_ = 0;
  // The keys of these point into `content_`.
  Index<std::string_view> queues_by_name_;
  Index<std::string_view> accounts_by_key_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_CONFIGURATION_SNAPSHOT_H_
