#include "jasminespar/configuration/conflict.h"

#include <map>
#include <utility>

#include "jasminespar/configuration/difference.h"

namespace jasminespar::configuration {

namespace {

using ItemKey = std::pair<std::string, std::string>;

std::map<ItemKey, KeyDifference> KeyChangesOf(const Configuration& base,
                                              ReleaseNote note) {
  note.base = base.revision;
  std::map<ItemKey, KeyDifference> changes;
  for (KeyDifference& change : FindDifferences(base, *Apply(base, note))) {
    changes.emplace(ItemKey(change.item, change.key), std::move(change));
  }
  return changes;
}

}  // namespace

std::vector<KeyConflict> FindConflicts(const Configuration& base,
                                       const ReleaseNote& winner,
                                       const ReleaseNote& loser) {
  const auto winner_changes = KeyChangesOf(base, winner);
  const auto loser_changes = KeyChangesOf(base, loser);
  std::vector<KeyConflict> conflicts;
  for (const auto& [key, lost] : loser_changes) {
    const auto found = winner_changes.find(key);
    if (found == winner_changes.end()) continue;
    // Two notes that add or withdraw the same item conflict even if all values
    // are equal.
    if (found->second.after == lost.after && key.second != "exists") continue;
    conflicts.push_back(
        {key.first, key.second, lost.before, found->second.after, lost.after});
  }
  return conflicts;
}

}  // namespace jasminespar::configuration
