/// @file
/// Finds the conflicting changes of two notes with the same base.

#ifndef JASMINESPAR_CONFIGURATION_CONFLICT_H_
#define JASMINESPAR_CONFIGURATION_CONFLICT_H_

#include <string>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"

namespace jasminespar::configuration {

/// A key that two notes set to different values.
struct KeyConflict {
  std::string item;    ///< For example "account school".
  std::string key;     ///< "exists" if both add or withdraw the item.
  std::string base;    ///< Value in the base; empty if it has none.
  std::string winner;  ///< Value in the accepted note.
  std::string loser;   ///< Value in the refused note.
  auto operator<=>(const KeyConflict&) const = default;
};

/// @param base the configuration that both notes change.
/// @param winner the accepted note.
/// @param loser the refused note.
/// @return the conflicts, ordered by item and key. If there are none, the
///     refused note can be submitted again on the new base without changes.
[[nodiscard]] std::vector<KeyConflict> FindConflicts(const Configuration& base,
                                                     const ReleaseNote& winner,
                                                     const ReleaseNote& loser);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_CONFLICT_H_
