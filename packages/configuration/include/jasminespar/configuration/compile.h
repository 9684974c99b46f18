/// @file
/// Checks a release note against the configuration and the workers.

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

/// What is wrong with one key of a note, named as in a note file.
struct NoteFault {
  std::string section;  ///< Such as "add account school".
  std::string key;      ///< Empty when the fault is the whole section's.
  std::string message;  ///< Names the allowed range where there is one.
  auto operator<=>(const NoteFault&) const = default;
};

/// @return "[section] key: message".
[[nodiscard]] std::string ToString(const NoteFault& fault);

/// Which part of a note a section of a note file describes.
enum class ItemChange : std::uint8_t { kAdd, kChange, kWithdraw };

inline constexpr NameTable<ItemChange, 3> kItemChangeNames{{
    {ItemChange::kAdd, "add", "The item must not exist yet."},
    {ItemChange::kChange, "change", "The item must exist."},
    {ItemChange::kWithdraw, "withdraw", "The item must exist."},
}};
static_assert(IsDense(kItemChangeNames));

/// Guarantees are compared with the live workers only when the note raises
/// one: while workers are broken, every other note still compiles.
/// @param cells the workers as the platform lists them.
/// @return the next revision, or every fault at once.
[[nodiscard]] std::variant<Configuration, std::vector<NoteFault>> Compile(
    const Configuration& previous, const ReleaseNote& note,
    const std::vector<CellTopology>& cells);

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_COMPILE_H_
