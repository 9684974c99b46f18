/// @file
/// Validates a release note and compiles it into the next revision.

#ifndef JASMINESPAR_CONFIGURATION_COMPILE_H_
#define JASMINESPAR_CONFIGURATION_COMPILE_H_

#include <string>
#include <variant>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"
#include "jasminespar/configuration/topology.h"

namespace jasminespar::configuration {

inline constexpr std::size_t kMaxTitleBytes = 200;
inline constexpr std::size_t kMaxNoteItems = 10'000;

/// A validation error in a release note. Section and key are named as in a
/// note file.
struct NoteError {
  std::string section;  ///< For example "add account school".
  std::string key;      ///< Empty if the error concerns the whole section.
  std::string message;  ///< Includes the allowed range, if there is one.
  auto operator<=>(const NoteError&) const = default;
};

/// @return "[section] key: message".
[[nodiscard]] std::string ToString(const NoteError& error);

/// Operation that a section of a note file requests for its item.
enum class ItemChange : std::uint8_t { kAdd, kChange, kWithdraw };

inline constexpr NameTable<ItemChange, 3> kItemChangeNames{{
    {ItemChange::kAdd, "add", "The item must not exist yet."},
    {ItemChange::kChange, "change", "The item must exist."},
    {ItemChange::kWithdraw, "withdraw", "The item must exist."},
}};
static_assert(IsDense(kItemChangeNames));

/// Checks a release note and applies it to a configuration.
///
/// Guarantees are checked against the capacity of the live workers only if the
/// note raises one, so that other notes still compile while workers are down.
/// @param previous the configuration in force.
/// @param cells the workers listed by the platform, grouped into cells.
/// @return the next revision, or all errors found. Capacity is checked only
///     when the note has no other error.
[[nodiscard]] std::variant<Configuration, std::vector<NoteError>> Compile(
    const Configuration& previous, const ReleaseNote& note,
    const std::vector<CellTopology>& cells);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_COMPILE_H_
