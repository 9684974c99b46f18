/// @file
/// Release notes: the items that an operator adds, changes and withdraws in one
/// atomic step.

#ifndef JASMINESPAR_CONFIGURATION_RELEASE_NOTE_H_
#define JASMINESPAR_CONFIGURATION_RELEASE_NOTE_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::configuration {

/// Chosen by the sender; distinguishes its note from others with the same base.
using NoteId = TextId<struct NoteTag>;

/// Changes to items of one type. Changed items are given with all values.
template <typename Item, typename Id>
struct Changes {
  std::vector<Item> added;
  std::vector<Item> changed;
  std::vector<Id> withdrawn;
  auto operator<=>(const Changes&) const = default;
};

struct ReleaseNote {
  NoteId id;
  Revision base;  ///< An accepted note becomes revision base + 1.
  std::string title;
  Changes<ClientAccount, ClientAccountId> accounts;
  Changes<Service, ServiceId> services;
  auto operator<=>(const ReleaseNote&) const = default;
};

/// Applies an accepted note without validating it.
/// @return the next revision, or nothing if the note has another base.
[[nodiscard]] std::optional<Configuration> Apply(const Configuration& previous,
                                                 const ReleaseNote& note);

/// Sorts guarantees by level and drops those of count 0.
void NormaliseGuarantees(ClientAccount& account);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_RELEASE_NOTE_H_
