/// @file
/// Names what two notes on the same base both touch.

#ifndef JASMINESPAR_CONFIGURATION_CONFLICT_H_
#define JASMINESPAR_CONFIGURATION_CONFLICT_H_

#include <string>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"

namespace jasminespar::configuration {

/// A key to which two notes give different values.
struct KeyConflict {
  std::string item;    ///< Such as "account school".
  std::string key;     ///< "exists" when one adds or withdraws the item.
  std::string base;    ///< Value before both; empty when there was none.
  std::string winner;  ///< Value of the accepted note.
  std::string loser;   ///< Value of the note that was refused.
  auto operator<=>(const KeyConflict&) const = default;
};

/// @param base the revision on which both notes stand.
/// @return the clashes, ordered; empty when the refused note can be sent again
///     unchanged on the new base.
[[nodiscard]] std::vector<KeyConflict> FindConflicts(const Configuration& base,
                                                     const ReleaseNote& winner,
                                                     const ReleaseNote& loser);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_CONFLICT_H_
