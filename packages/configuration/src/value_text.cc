#include "jasminespar/configuration/value_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <span>

namespace jasminespar::configuration {

namespace {

struct Suffix {
  std::string_view text;
  std::int64_t factor;
};

// Largest first, so that formatting chooses the shortest text.
constexpr std::array<Suffix, 3> kByteSuffixes{
    {{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}};
constexpr std::array<Suffix, 5> kDurationSuffixes{{{"h", 3'600'000'000},
                                                   {"min", 60'000'000},
                                                   {"s", 1'000'000},
                                                   {"ms", 1'000},
                                                   {"us", 1}}};
constexpr std::array<Suffix, 1> kNoSuffix{{{"", 1}}};

constexpr std::span<const Suffix> SuffixesOf(Unit unit) {
  switch (unit) {
    case Unit::kBytes:
      return kByteSuffixes;
    case Unit::kDuration:
      return kDurationSuffixes;
    default:
      return kNoSuffix;
  }
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsOctet(std::string_view text) {
  unsigned value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  return error == std::errc{} && rest == end && value <= 255 &&
         (text.size() == 1 || text[0] != '0');
}

bool IsIpv4(std::string_view text) {
  for (int octet = 0; octet < 4; ++octet) {
    const std::size_t dot = text.find('.');
    if ((dot == std::string_view::npos) != (octet == 3)) return false;
    if (!IsOctet(text.substr(0, dot))) return false;
    text.remove_prefix(octet == 3 ? text.size() : dot + 1);
  }
  return true;
}

/// Removes a leading decimal part: ".5s" becomes "s".
/// @return the digits after the point; empty when there are none.
std::string_view TakeDecimals(std::string_view& text) {
  if (!text.starts_with('.')) return {};
  std::size_t end = 1;
  while (end < text.size() && text[end] >= '0' && text[end] <= '9') ++end;
  if (end == 1) return {};
  const std::string_view digits = text.substr(1, end - 1);
  text.remove_prefix(end);
  return digits;
}

/// @return the decimal fraction times `factor`, each digit rounded down.
std::int64_t FractionOf(std::string_view decimals, std::int64_t factor) {
  std::int64_t fraction = 0;
  for (const char digit : decimals) {
    factor /= 10;
    fraction += (digit - '0') * factor;
  }
  return fraction;
}

bool IsAddress(std::string_view text) {
  constexpr std::int64_t kMaxPort = 65535;
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) return false;
  const std::optional<std::int64_t> port =
      ParseNumber(Unit::kPort, text.substr(colon + 1));
  return IsIpv4(text.substr(0, colon)) && port && *port >= 1 &&
         *port <= kMaxPort;
}

}  // namespace

std::optional<std::int64_t> ParseNumber(Unit unit, std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || number < 0) return std::nullopt;
  std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
  const std::string_view decimals =
      unit == Unit::kDuration ? TakeDecimals(suffix) : std::string_view();
  suffix.remove_prefix(std::min(suffix.find_first_not_of(' '), suffix.size()));
  for (const Suffix& known : SuffixesOf(unit)) {
    if (known.text != suffix) continue;
    if (number > std::numeric_limits<std::int64_t>::max() / known.factor) {
      return std::nullopt;
    }
    return number * known.factor + FractionOf(decimals, known.factor);
  }
  return std::nullopt;
}

std::string FormatNumber(Unit unit, std::int64_t number) {
  const std::span<const Suffix> suffixes = SuffixesOf(unit);
  const Suffix* chosen = &suffixes.back();
  for (const Suffix& suffix : suffixes) {
    if (number == 0 || number % suffix.factor != 0) continue;
    chosen = &suffix;
    break;
  }
  return std::to_string(number / chosen->factor) + std::string(chosen->text);
}

bool IsValidName(std::string_view text) {
  constexpr std::size_t kMaxNameBytes = 64;
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsValidText(Unit unit, std::string_view text) {
  switch (unit) {
    case Unit::kName:
      return IsValidName(text);
    case Unit::kHost:
      return IsIpv4(text);
    case Unit::kAddress:
      return IsAddress(text);
    case Unit::kSwitch:
      return ParseName(kSwitchNames, text).has_value();
    default:
      return !text.empty();
  }
}

}  // namespace jasminespar::configuration
