#include "jasminespar/jobs/configuration_snapshot.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {

namespace {

/// Between host and prefix in the keys of the routes; occurs in neither.
constexpr char kSeparator = '\n';

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::string RouteKey(std::string_view host, std::string_view path) {
  std::string key(host);
  key += kSeparator;
  key += path;
  return key;
}

}  // namespace

ConfigurationSnapshot::ConfigurationSnapshot(SiteConfiguration content)
    : content_(std::move(content)) {
  queues_by_route_.reserve(content_.queues.size());
  queues_by_name_.reserve(content_.queues.size());
  for (std::size_t i = 0; i < content_.queues.size(); ++i) {
    const QueueConfiguration& queue = content_.queues[i];
    queues_by_route_.emplace(RouteKey(queue.host, queue.prefix), i);
    queues_by_name_.emplace(queue.name.value, i);
    longest_prefix_ = std::max(longest_prefix_, queue.prefix.size());
  }
  for (std::size_t i = 0; i < content_.accounts.size(); ++i) {
    for (const std::string& key : content_.accounts[i].keys) {
      accounts_by_key_.emplace(key, i);
    }
  }
}

const QueueConfiguration* ConfigurationSnapshot::FindQueueByRoute(
    std::string_view host, std::string_view path) const {
  const std::string_view name = WithoutPort(host);
  const std::string key = RouteKey(name, path.substr(0, longest_prefix_));
  for (std::size_t size = key.size(); size > name.size(); --size) {
    const auto found =
        queues_by_route_.find(std::string_view(key).substr(0, size));
    if (found != queues_by_route_.end()) return &content_.queues[found->second];
  }
  return nullptr;
}

const QueueConfiguration* ConfigurationSnapshot::FindQueue(
    const QueueId& name) const {
  const auto found = queues_by_name_.find(std::string_view(name.value));
  return found == queues_by_name_.end() ? nullptr
                                        : &content_.queues[found->second];
}

const AccountConfiguration* ConfigurationSnapshot::FindAccountByKey(
    std::string_view key) const {
  const auto found = accounts_by_key_.find(key);
  return found == accounts_by_key_.end() ? nullptr
                                         : &content_.accounts[found->second];
}

}  // namespace jasminespar::jobs
