/// @file
/// Conversions between this package's messages and those of Boost.Beast, for
/// the server. Private to this package.

#ifndef JASMINESPAR_HTTP_SRC_SERVER_MESSAGES_H_
#define JASMINESPAR_HTTP_SRC_SERVER_MESSAGES_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <optional>

#include "jasminespar/core/reason.h"
#include "jasminespar/http/message.h"
#include "jasminespar/http/server.h"

namespace jasminespar::http {

using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
using ResponseMessage =
    boost::beast::http::response<boost::beast::http::string_body>;

[[nodiscard]] Request ToRequest(Parser::value_type message);

[[nodiscard]] ResponseMessage ToMessage(Response response, bool keep_alive);

/// @return why a request that could not be read is rejected; nothing when the
///     connection is lost and no response can be sent.
/// @param in_header whether the header was not read to its end.
[[nodiscard]] std::optional<Reason> ReasonOf(
    const boost::beast::error_code& error, bool in_header);

/// Sets the limits of one request.
void SetLimits(Parser& parser, const ServerLimits& limits);

/// Parses what the buffer holds, as far as it goes.
/// @return the bytes that were parsed; they are no longer in the buffer.
std::size_t Parse(Parser& parser, boost::beast::flat_buffer& buffer,
                  boost::beast::error_code& error);

/// @return bytes of memory that a request which is being read holds.
[[nodiscard]] std::size_t HeldBy(const Parser& parser,
                                 const boost::beast::flat_buffer& buffer);

/// @return bytes of memory that a request which was read may hold until its
///     answer is known.
[[nodiscard]] std::size_t HeldBy(const Request& request);

}  // namespace jasminespar::http

#endif  // JASMINESPAR_HTTP_SRC_SERVER_MESSAGES_H_
