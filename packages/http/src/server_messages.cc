#include "server_messages.h"

#include <iterator>
#include <string>
#include <utility>

namespace jasminespar::http {

namespace beast = boost::beast;

namespace {

/// A field of a header, however short, costs its nodes and strings.
constexpr std::size_t kFieldBytes = 160;

/// A body that is being read grows by copying itself into twice the room.
constexpr std::size_t kReadingFactor = 2;

/// Copies of a body on its way: as it was read, decoded, encoded for the table
/// and as part of a request to the table.
constexpr std::size_t kHandlingFactor = 4;

}  // namespace

Request ToRequest(Parser::value_type message) {
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

ResponseMessage ToMessage(Response response, bool keep_alive) {
  ResponseMessage message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  for (const Header& header : response.headers) {
    message.set(header.name, header.value);
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

std::optional<Reason> ReasonOf(const beast::error_code& error, bool in_header) {
  using HttpError = beast::http::error;
  if (error == HttpError::header_limit) return Reason::kHeadersTooLarge;
  if (error == HttpError::body_limit) return Reason::kBodyTooLarge;
  if (error == HttpError::buffer_overflow) {
    return in_header ? Reason::kHeadersTooLarge : Reason::kFramingTooLarge;
  }
  if (error == beast::error::timeout) return Reason::kClientTooSlow;
  if (error.category() == make_error_code(HttpError::bad_version).category() &&
      error != HttpError::end_of_stream &&
      error != HttpError::partial_message) {
    return Reason::kMalformedRequest;
  }
  return std::nullopt;  // The peer closed the connection or it failed.
}

void SetLimits(Parser& parser, const ServerLimits& limits) {
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
  parser.eager(true);
}

std::size_t Parse(Parser& parser, beast::flat_buffer& buffer,
                  beast::error_code& error) {
  std::size_t parsed = 0;
  while (buffer.size() > 0 && !parser.is_done() && !error) {
    const std::size_t used = parser.put(buffer.data(), error);
    buffer.consume(used);
    parsed += used;
    if (used == 0 && !error) break;
  }
  // More bytes are needed, which is no fault.
  if (error == beast::http::error::need_more) error = {};
  return parsed;
}

std::size_t HeldBy(const Parser& parser, const beast::flat_buffer& buffer) {
  const auto& message = parser.get();
  const auto fields = std::distance(message.begin(), message.end());
  return buffer.capacity() + kReadingFactor * message.body().size() +
         kFieldBytes * static_cast<std::size_t>(fields);
}

std::size_t HeldBy(const Request& request) {
  return kHandlingFactor * request.body.size() + request.target.size() +
         kFieldBytes * request.headers.size();
}

}  // namespace jasminespar::http
