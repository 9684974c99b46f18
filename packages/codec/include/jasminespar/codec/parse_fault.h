/// @file
/// Result of the parse functions: a value, or all faults of the text.

#ifndef JASMINESPAR_CODEC_PARSE_FAULT_H_
#define JASMINESPAR_CODEC_PARSE_FAULT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminespar::codec {

/// One member of a JSON text that is missing, unknown or has a wrong value.
struct ParseFault {
  std::string path;  ///< E.g. "accounts.added[0].weight"; empty: the text.
  std::string message;
  auto operator<=>(const ParseFault&) const = default;
};

/// Most faults reported for one text; a hostile text can contain millions.
inline constexpr std::size_t kMaxParseFaults = 100;

/// The parsed value, or the faults of the text: at least one.
template <typename Value>
using Parsed = std::variant<Value, std::vector<ParseFault>>;

/// Treatment of unknown members: kReject for text that people write, kIgnore
/// for text that a newer instance may have written.
enum class UnknownMembers : std::uint8_t { kReject, kIgnore };

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_PARSE_FAULT_H_
