/// @file
/// Compares two configurations key by key.

#ifndef JASMINESPAR_CONFIGURATION_DIFFERENCE_H_
#define JASMINESPAR_CONFIGURATION_DIFFERENCE_H_

#include <string>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"

namespace jasminespar::configuration {

/// A key whose value differs. Values are written as in a note file.
struct KeyDifference {
  std::string item;    ///< For example "account school".
  std::string key;     ///< "exists" if the item was added or withdrawn.
  std::string before;  ///< Empty if the item did not exist.
  std::string after;   ///< Empty if the item no longer exists.
  auto operator<=>(const KeyDifference&) const = default;
};

/// @return the differences, ordered by item and key; empty if the two are equal
///     apart from the revision.
[[nodiscard]] std::vector<KeyDifference> FindDifferences(
    const Configuration& before, const Configuration& after);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_DIFFERENCE_H_
