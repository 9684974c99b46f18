/// @file
/// HTTP messages as plain structs, so that other packages do not depend on
/// Boost.Beast.

#ifndef JASMINESPAR_HTTP_MESSAGE_H_
#define JASMINESPAR_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/core/time.h"

namespace jasminespar::http {

struct Header {
  std::string name;
  std::string value;
};

struct Request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;
  /// Of a received response: from its first bytes to its last.
  Duration transfer{};
};

/// @return the value of the first header with that name, which is compared
///     case-insensitively; empty if there is none. Points into `headers`.
[[nodiscard]] std::string_view HeaderOf(const std::vector<Header>& headers,
                                        std::string_view name);

/// @return the path of a request target, without the query string.
[[nodiscard]] std::string_view PathOf(std::string_view target);

/// @return the value of the first query parameter with that name, without
///     percent-decoding; empty if there is none.
[[nodiscard]] std::string_view QueryOf(std::string_view target,
                                       std::string_view name);

/// @return the non-empty segments of a path: "/v1/calls/7" gives
///     {"v1", "calls", "7"}.
[[nodiscard]] std::vector<std::string_view> SegmentsOf(std::string_view path);

}  // namespace jasminespar::http

#endif  // JASMINESPAR_HTTP_MESSAGE_H_
