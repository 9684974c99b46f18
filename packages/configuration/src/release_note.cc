#include "jasminespar/configuration/release_note.h"

#include <algorithm>
#include <map>

namespace jasminespar::configuration {

namespace {

template <typename Item, typename Id>
void ApplyChanges(std::map<Id, Item>& items, const Changes<Item, Id>& changes) {
  for (const Id& id : changes.withdrawn) items.erase(id);
  for (const Item& item : changes.added) items[item.id] = item;
  for (const Item& item : changes.changed) items[item.id] = item;
}

}  // namespace

void NormaliseGuarantees(ClientAccount& account) {
  std::erase_if(account.guarantees, [](const Guarantee& guarantee) {
    return guarantee.count == 0;
  });
  std::sort(account.guarantees.begin(), account.guarantees.end());
}

std::optional<Configuration> Apply(const Configuration& previous,
                                   const ReleaseNote& note) {
  if (note.base != previous.revision) return std::nullopt;
  Configuration next = previous;
  next.revision.value = previous.revision.value + 1;
  ApplyChanges(next.accounts, note.accounts);
  ApplyChanges(next.services, note.services);
  for (auto& [id, account] : next.accounts) NormaliseGuarantees(account);
  return next;
}

}  // namespace jasminespar::configuration
