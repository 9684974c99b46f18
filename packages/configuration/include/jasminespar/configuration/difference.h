/// @file
/// Key by key: what two revisions differ in, and where two notes clash.

#ifndef JASMINESPAR_CONFIGURATION_DIFFERENCE_H_
#define JASMINESPAR_CONFIGURATION_DIFFERENCE_H_

#include <string>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"

namespace jasminespar::configuration {

/// One key of one item with both values, as they stand in a note file.
struct KeyDifference {
  std::string item;    ///< Such as "account school".
  std::string key;     ///< "exists" when the item was added or withdrawn.
  std::string before;  ///< Empty when the item did not exist.
  std::string after;   ///< Empty when the item no longer exists.
  auto operator<=>(const KeyDifference&) const = default;
};

/// @return the differences, ordered by item and key; empty when the two are
///     equal but for the revision.
[[nodiscard]] std::vector<KeyDifference> Difference(const Configuration& before,
                                                    const Configuration& after);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_DIFFERENCE_H_
