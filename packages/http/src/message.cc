#include "jasminespar/http/message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace jasminespar::http {

std::string_view HeaderOf(const std::vector<Header>& headers,
                          std::string_view name) {
  for (const Header& header : headers) {
    if (boost::beast::iequals({header.name.data(), header.name.size()},
                              {name.data(), name.size()})) {
      return header.value;
    }
  }
  return {};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view QueryOf(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return {};
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    if (equals == std::string_view::npos) return {};
    return pair.substr(equals + 1);
  }
  return {};
}

std::vector<std::string_view> SegmentsOf(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    if (path.front() == '/') {
      path.remove_prefix(1);
      continue;
    }
    const std::string_view segment = path.substr(0, path.find('/'));
    segments.push_back(segment);
    path.remove_prefix(segment.size());
  }
  return segments;
}

}  // namespace jasminespar::http
