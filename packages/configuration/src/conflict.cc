#include "jasminespar/configuration/conflict.h"

#include <map>
#include <utility>

#include "jasminespar/configuration/difference.h"

namespace jasminespar::configuration {

namespace {

using ItemKey = std::pair<std::string, std::string>;

std::map<ItemKey, KeyDifference> EffectOf(const Configuration& base,
                                          ReleaseNote note) {
  note.base = base.revision;
  std::map<ItemKey, KeyDifference> effect;
  for (KeyDifference& change : Difference(base, *Apply(base, note))) {
    effect.emplace(ItemKey(change.item, change.key), std::move(change));
  }
  return effect;
}

}  // namespace

std::vector<KeyConflict> FindConflicts(const Configuration& base,
                                       const ReleaseNote& winner,
                                       const ReleaseNote& loser) {
  const auto winner_effect = EffectOf(base, winner);
  const auto loser_effect = EffectOf(base, loser);
  std::vector<KeyConflict> conflicts;
  for (const auto& [key, lost] : loser_effect) {
    const auto found = winner_effect.find(key);
    if (found == winner_effect.end()) continue;
    // Both may add the same item: that clashes even with equal values.
    if (found->second.after == lost.after && key.second != "exists") continue;
    conflicts.push_back(
        {key.first, key.second, lost.before, found->second.after, lost.after});
  }
  return conflicts;
}

}  // namespace jasminespar::configuration
