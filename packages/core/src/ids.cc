#include "jasminespar/core/ids.h"

#include <charconv>
#include <cstdio>

namespace jasminespar {
namespace {

constexpr std::size_t kDigitsPerHalf = 16;

bool ParseHalf(std::string_view digits, std::uint64_t& value) {
  const char* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, value, 16);
  return result.ec == std::errc() && result.ptr == end;
}

}  // namespace

std::string ToString(const CallId& id) {
  char text[2 * kDigitsPerHalf + 1];
  std::snprintf(text, sizeof text, "%016llx%016llx",
                static_cast<unsigned long long>(id.high),
                static_cast<unsigned long long>(id.low));
  return text;
}

std::optional<CallId> ParseCallId(std::string_view text) {
  if (text.size() != 2 * kDigitsPerHalf) return std::nullopt;
  CallId id;
  if (!ParseHalf(text.substr(0, kDigitsPerHalf), id.high)) return std::nullopt;
  if (!ParseHalf(text.substr(kDigitsPerHalf), id.low)) return std::nullopt;
  return id;
}

}  // namespace jasminespar
