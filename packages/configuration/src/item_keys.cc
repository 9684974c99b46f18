#include "jasminespar/configuration/item_keys.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

#include "jasminespar/configuration/release_note.h"
#include "jasminespar/configuration/value_text.h"

namespace jasminespar::configuration {

namespace {

ShapeLevel LevelOf(AccountKey key) {
  return static_cast<ShapeLevel>(
      static_cast<int>(key) -
      static_cast<int>(AccountKey::kGuaranteeAccelerator));
}

std::string FormatWeight(double weight) {
  char buffer[32];
  const auto result =
      std::to_chars(std::begin(buffer), std::end(buffer), weight);
  return std::string(buffer, result.ptr);
}

bool ParseWeight(std::string_view text, double& weight) {
  const char* end = text.data() + text.size();
  double parsed = 0;
  const auto [rest, error] = std::from_chars(text.data(), end, parsed);
  if (error != std::errc{} || rest != end) return false;
  weight = parsed;
  return true;
}

bool ParseCount(Unit unit, std::string_view text, std::uint32_t& count) {
  const std::optional<std::int64_t> number = ParseNumber(unit, text);
  if (!number || *number > std::numeric_limits<std::uint32_t>::max()) {
    return false;
  }
  count = static_cast<std::uint32_t>(*number);
  return true;
}

bool ParseDuration(std::string_view text, Duration& duration) {
  const std::optional<std::int64_t> number = ParseNumber(Unit::kDuration, text);
  if (!number) return false;
  duration = Duration(*number);
  return true;
}

std::string_view Trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(' ');
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

/// @param text names separated by commas; empty means none.
bool ParseDataCentres(std::string_view text, std::vector<DataCentreId>& ids) {
  std::vector<DataCentreId> parsed;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view name = Trimmed(text.substr(0, comma));
    if (!IsValidName(name)) return false;
    parsed.push_back({std::string(name)});
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
  }
  ids = std::move(parsed);
  return true;
}

std::string FormatDataCentres(const std::vector<DataCentreId>& ids) {
  std::string text;
  for (const DataCentreId& id : ids) {
    if (!text.empty()) text += ", ";
    text += id.value;
  }
  return text;
}

void SetCount(ClientAccount& account, ShapeLevel level, std::uint32_t count) {
  std::erase_if(account.guarantees, [&](const Guarantee& guarantee) {
    return guarantee.level == level;
  });
  account.guarantees.push_back({level, count});
  NormaliseGuarantees(account);
}

}  // namespace

std::uint32_t GuaranteedCount(const ClientAccount& account, ShapeLevel level) {
  std::uint32_t count = 0;
  for (const Guarantee& guarantee : account.guarantees) {
    if (guarantee.level == level) count += guarantee.count;
  }
  return count;
}

std::string TextOf(const ClientAccount& account, AccountKey key) {
  switch (key) {
    case AccountKey::kWeight:
      return FormatWeight(account.weight);
    case AccountKey::kMaxWaitingCalls:
      return std::to_string(account.max_waiting_calls);
    default:
      return std::to_string(GuaranteedCount(account, LevelOf(key)));
  }
}

std::string TextOf(const Service& service, ServiceKey key) {
  switch (key) {
    case ServiceKey::kMaxBodyBytes:
      return FormatNumber(Unit::kBytes, service.max_body_bytes);
    case ServiceKey::kDefaultDeadline:
      return FormatNumber(Unit::kDuration, service.default_deadline.count());
    case ServiceKey::kAnswerRetention:
      return FormatNumber(Unit::kDuration, service.answer_retention.count());
    case ServiceKey::kDataCentres:
      break;
  }
  return FormatDataCentres(service.data_centres);
}

bool SetFromText(ClientAccount& account, AccountKey key,
                 std::string_view text) {
  switch (key) {
    case AccountKey::kWeight:
      return ParseWeight(text, account.weight);
    case AccountKey::kMaxWaitingCalls:
      return ParseCount(Unit::kCount, text, account.max_waiting_calls);
    default:
      break;
  }
  std::uint32_t count = 0;
  if (!ParseCount(Unit::kCount, text, count)) return false;
  SetCount(account, LevelOf(key), count);
  return true;
}

bool SetFromText(Service& service, ServiceKey key, std::string_view text) {
  switch (key) {
    case ServiceKey::kMaxBodyBytes:
      return ParseCount(Unit::kBytes, text, service.max_body_bytes);
    case ServiceKey::kDefaultDeadline:
      return ParseDuration(text, service.default_deadline);
    case ServiceKey::kAnswerRetention:
      return ParseDuration(text, service.answer_retention);
    case ServiceKey::kDataCentres:
      break;
  }
  return ParseDataCentres(text, service.data_centres);
}

bool InRange(const ClientAccount& account, AccountKey key) {
  switch (key) {
    case AccountKey::kWeight:
      return account.weight >= kMinWeight && account.weight <= kMaxWeight;
    case AccountKey::kMaxWaitingCalls:
      return account.max_waiting_calls >= 1 &&
             account.max_waiting_calls <= kMaxWaitingCallsLimit;
    default:
      break;
  }
  // Also checks each entry, because the sum may overflow on malicious input.
  const ShapeLevel level = LevelOf(key);
  return GuaranteedCount(account, level) <= kMaxGuaranteeCount &&
         std::all_of(account.guarantees.begin(), account.guarantees.end(),
                     [&](const Guarantee& guarantee) {
                       return guarantee.level != level ||
                              guarantee.count <= kMaxGuaranteeCount;
                     });
}

bool InRange(const Service& service, ServiceKey key) {
  switch (key) {
    case ServiceKey::kMaxBodyBytes:
      return service.max_body_bytes >= 1 &&
             service.max_body_bytes <= kMaxBodyBytesLimit;
    case ServiceKey::kDefaultDeadline:
      return service.default_deadline >= kMinDeadline &&
             service.default_deadline <= kMaxDeadline &&
             service.default_deadline % 1ms == Duration::zero();
    case ServiceKey::kAnswerRetention:
      return service.answer_retention >= kMinRetention &&
             service.answer_retention <= kMaxRetention &&
             service.answer_retention % 1ms == Duration::zero();
    case ServiceKey::kDataCentres:
      break;
  }
  return std::all_of(
      service.data_centres.begin(), service.data_centres.end(),
      [](const DataCentreId& id) { return IsValidName(id.value); });
}

}  // namespace jasminespar::configuration
