#include "jasminespar/jobs/configuration_change.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace jasminespar::jobs {

namespace {

QueueRoute KeyOf(const QueueConfiguration& queue) {
  return {queue.name, queue.host, queue.prefix};
}

ClientAccountId KeyOf(const AccountConfiguration& account) {
  return account.name;
}

template <typename Entry>
using KeyType = decltype(KeyOf(std::declval<Entry>()));

/// Splits the difference of two lists into added or changed entries and the
/// keys of removed ones.
template <typename Entry>
void Compare(const std::vector<Entry>& base, const std::vector<Entry>& target,
             std::vector<Entry>& changed,
             std::vector<KeyType<Entry>>& removed) {
  std::map<KeyType<Entry>, const Entry*> before;
  for (const Entry& entry : base) before.emplace(KeyOf(entry), &entry);
  for (const Entry& entry : target) {
    const auto found = before.find(KeyOf(entry));
    const bool same = found != before.end() && *found->second == entry;
    if (!same) changed.push_back(entry);
    if (found != before.end()) before.erase(found);
  }
  for (const auto& [key, entry] : before) removed.push_back(key);
}

/// @return `base` without the removed and the changed entries, and then the
///     changed ones.
template <typename Entry>
std::vector<Entry> Merge(const std::vector<Entry>& base,
                         std::vector<Entry> changed,
                         const std::vector<KeyType<Entry>>& removed) {
  std::set<KeyType<Entry>> replaced(removed.begin(), removed.end());
  for (const Entry& entry : changed) replaced.insert(KeyOf(entry));
  std::vector<Entry> merged;
  merged.reserve(base.size() + changed.size());
  std::copy_if(base.begin(), base.end(), std::back_inserter(merged),
               [&](const Entry& entry) {
                 return replaced.empty() || !replaced.contains(KeyOf(entry));
               });
  std::move(changed.begin(), changed.end(), std::back_inserter(merged));
  return merged;
}

}  // namespace

ConfigurationChange DifferenceOf(const SiteConfiguration* base,
                                 const SiteConfiguration& target) {
  const SiteConfiguration empty;
  const SiteConfiguration& before = base == nullptr ? empty : *base;
  ConfigurationChange change;
  change.base = before.version;
  change.version = target.version;
  change.max_body_bytes = target.max_body_bytes;
  Compare(before.queues, target.queues, change.queues, change.removed_queues);
  Compare(before.accounts, target.accounts, change.accounts,
          change.removed_accounts);
  return change;
}

std::optional<SiteConfiguration> Apply(const SiteConfiguration* base,
                                       ConfigurationChange change) {
  const SiteConfiguration empty;
  const bool whole = change.base == Revision{};
  if (!whole && (base == nullptr || base->version != change.base)) {
    return std::nullopt;
  }
  const SiteConfiguration& before = whole ? empty : *base;
  SiteConfiguration after;
  after.version = change.version;
  after.max_body_bytes = change.max_body_bytes;
  after.queues =
      Merge(before.queues, std::move(change.queues), change.removed_queues);
  after.accounts = Merge(before.accounts, std::move(change.accounts),
                         change.removed_accounts);
  return after;
}

}  // namespace jasminespar::jobs
