#include "jasminespar/configuration/difference.h"

#include <algorithm>
#include <map>

#include "jasminespar/configuration/item_keys.h"

namespace jasminespar::configuration {

namespace {

constexpr const char* kExistsKey = "exists";

/// Appends the keys in which `before` and `after` differ; null means absent.
template <typename Item, typename Rows>
void AddKeyDifferences(const std::string& name, const Item* before,
                       const Item* after, const Rows& rows,
                       std::vector<KeyDifference>& differences) {
  if ((before == nullptr) != (after == nullptr)) {
    differences.push_back({name, kExistsKey, before == nullptr ? "" : "yes",
                           after == nullptr ? "" : "yes"});
  }
  for (const auto& row : rows) {
    const std::string old_text =
        before == nullptr ? "" : TextOf(*before, row.value);
    const std::string new_text =
        after == nullptr ? "" : TextOf(*after, row.value);
    if (old_text == new_text) continue;
    differences.push_back({name, std::string(row.name), old_text, new_text});
  }
}

template <typename Item, typename Id>
const Item* FindOrNull(const std::map<Id, Item>& items, const Id& id) {
  const auto found = items.find(id);
  return found == items.end() ? nullptr : &found->second;
}

template <typename Item, typename Id, typename Rows>
void AddItemDifferences(const std::string& kind,
                        const std::map<Id, Item>& before,
                        const std::map<Id, Item>& after, const Rows& rows,
                        std::vector<KeyDifference>& differences) {
  for (const auto& [id, item] : before) {
    AddKeyDifferences(kind + id.value, &item, FindOrNull(after, id), rows,
                      differences);
  }
  for (const auto& [id, item] : after) {
    if (before.contains(id)) continue;
    AddKeyDifferences<Item>(kind + id.value, nullptr, &item, rows, differences);
  }
}

}  // namespace

std::vector<KeyDifference> FindDifferences(const Configuration& before,
                                           const Configuration& after) {
  std::vector<KeyDifference> differences;
  AddItemDifferences("account ", before.accounts, after.accounts, kAccountKeys,
                     differences);
  AddItemDifferences("service ", before.services, after.services, kServiceKeys,
                     differences);
  std::sort(differences.begin(), differences.end());
  return differences;
}

}  // namespace jasminespar::configuration
