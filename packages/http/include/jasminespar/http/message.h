/// @file
/// HTTP messages as plain values, so that only this package knows Beast.

#ifndef JASMINESPAR_HTTP_MESSAGE_H_
#define JASMINESPAR_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

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
};

/// @return the first value of that header, compared without case; empty when
///     there is none. Valid as long as `headers` is unchanged.
[[nodiscard]] std::string_view HeaderOf(const std::vector<Header>& headers,
                                        std::string_view name);

/// @return the path of a target, without the query.
[[nodiscard]] std::string_view PathOf(std::string_view target);

/// @return the value of a query parameter, empty when absent; not unescaped.
[[nodiscard]] std::string_view QueryOf(std::string_view target,
                                       std::string_view name);

/// @return the segments of a path: "/v1/calls/7" gives {"v1", "calls", "7"}.
[[nodiscard]] std::vector<std::string_view> SegmentsOf(std::string_view path);

}  // namespace jasminespar::http

#endif  // JASMINESPAR_HTTP_MESSAGE_H_
