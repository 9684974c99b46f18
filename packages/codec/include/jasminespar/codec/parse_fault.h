/// @file
/// What a parse function gives back: a value, or every fault at once.

#ifndef JASMINESPAR_CODEC_PARSE_FAULT_H_
#define JASMINESPAR_CODEC_PARSE_FAULT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminespar::codec {

/// One member of a JSON text that is missing, unknown or has a wrong value.
struct ParseFault {
  std::string path;  ///< Such as "accounts.added[0].weight"; empty: the text.
  std::string message;
  auto operator<=>(const ParseFault&) const = default;
};

/// Faults kept of one text; a hostile one could hold millions.
inline constexpr std::size_t kMaxParseFaults = 100;

template <typename Value>
using Parsed = std::variant<Value, std::vector<ParseFault>>;

/// kFault for what people write; kIgnore for what a newer instance wrote.
enum class UnknownMembers : std::uint8_t { kFault, kIgnore };

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_PARSE_FAULT_H_
