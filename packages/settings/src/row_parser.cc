#include "row_parser.h"

namespace jasminespar::settings {

configuration::Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.find(':');
  const std::optional<std::int64_t> port = configuration::ParseNumber(
      configuration::Unit::kPort, text.substr(colon + 1));
  return {text.substr(0, colon), static_cast<std::uint16_t>(port.value_or(0))};
}

std::string FormatAddress(const configuration::Address& address) {
  if (address.host.empty()) return {};
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace jasminespar::settings
