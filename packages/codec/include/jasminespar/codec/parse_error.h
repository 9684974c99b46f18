/// @file
/// Result of the parse functions: a value, or all errors of the text.

#ifndef JASMINESPAR_CODEC_PARSE_ERROR_H_
#define JASMINESPAR_CODEC_PARSE_ERROR_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminespar::codec {

/// One member of a JSON text that is missing, unknown or has a wrong value.
struct ParseError {
  std::string path;  ///< E.g. "accounts.added[0].weight"; empty: the text.
  std::string message;
  auto operator<=>(const ParseError&) const = default;
};

/// Most errors reported for one text; a hostile text can contain millions.
inline constexpr std::size_t kMaxParseErrors = 100;

/// The parsed value, or the errors of the text: at least one.
template <typename Value>
using Parsed = std::variant<Value, std::vector<ParseError>>;

/// Treatment of unknown members: kReject for text that people write, kIgnore
/// for text that a newer instance may have written.
enum class UnknownMembers : std::uint8_t { kReject, kIgnore };

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_PARSE_ERROR_H_
