/// @file
/// HTTP/1.1 client with a bounded connection pool to one address.

#ifndef JASMINESPAR_HTTP_CLIENT_H_
#define JASMINESPAR_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "jasminespar/core/time.h"
#include "jasminespar/http/message.h"

namespace jasminespar::http {

/// Limits of one exchange.
struct ExchangeLimits {
  /// For the wait for a connection, the connect, and then from the end of the
  /// request to the first byte of the response.
  Duration response{};
  /// Longest pause within the request or the response. A transfer that goes on
  /// has no other limit, so that its size does not matter. Without a value,
  /// `response` limits the whole exchange.
  std::optional<Duration> idle;
  /// Largest body of a response.
  std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
  /// Called on a connection just before the request is written; if it returns
  /// false, the request is not sent. Empty: it is always sent.
  std::function<bool()> may_send;
};

/// Sends requests to one server over a bounded pool of keep-alive connections.
/// Not thread-safe: call it only on the thread that runs its io_context.
class Client {
 public:
  /// @param host IP address, not a host name; sent as the Host header.
  /// @param max_connections size of the pool; further requests wait for a free
  ///     connection.
  /// @throws std::exception when `host` is not an IP address.
  Client(boost::asio::io_context& context, std::string host, std::uint16_t port,
         std::size_t max_connections);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request and reads the whole response. Never retries: if the server
  /// closes a keep-alive connection before it answers, the request may have
  /// been processed, so the error carries kMayHaveRun.
  /// @throws Error with kWorkerUnreachable; its verdict is kNotRun if no
  ///     connection was obtained, so that no byte was sent, else kMayHaveRun.
  ///     kBodyTooLarge when the response is larger than the limit.
  [[nodiscard]] boost::asio::awaitable<Response> Send(Request request,
                                                      ExchangeLimits limits);

  /// @param timeout limit for the whole exchange, including the wait for a
  ///     connection.
  /// @throws Error as above.
  [[nodiscard]] boost::asio::awaitable<Response> Send(Request request,
                                                      Duration timeout);

  /// Closes idle connections and cancels exchanges in progress, which then
  /// throw. Requests that wait for a free connection are not cancelled.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jasminespar::http

#endif  // JASMINESPAR_HTTP_CLIENT_H_
