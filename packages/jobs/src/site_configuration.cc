#include "jasminespar/jobs/site_configuration.h"

namespace jasminespar::jobs {

namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

const QueueConfiguration* SiteConfiguration::FindQueueByRoute(
    std::string_view host, std::string_view path) const {
  const std::string_view name = WithoutPort(host);
  const QueueConfiguration* best = nullptr;
  for (const QueueConfiguration& queue : queues) {
    if (queue.host != name || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

const QueueConfiguration* SiteConfiguration::FindQueue(
    const QueueId& name) const {
  for (const QueueConfiguration& queue : queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

const AccountConfiguration* SiteConfiguration::FindAccountByKey(
    std::string_view key) const {
  for (const AccountConfiguration& account : accounts) {
    if (account.keys.contains(key)) return &account;
  }
  return nullptr;
}

}  // namespace jasminespar::jobs
