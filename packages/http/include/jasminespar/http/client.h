/// @file
/// HTTP/1.1 client with a bounded pool of connections to one address.

#ifndef JASMINESPAR_HTTP_CLIENT_H_
#define JASMINESPAR_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "jasminespar/core/time.h"
#include "jasminespar/http/message.h"

namespace jasminespar::http {

/// Not thread-safe: use on the io_context it was made with.
class Client {
 public:
  /// @param host IP number.
  /// @param max_connections requests above it wait for a free connection.
  Client(boost::asio::io_context& context, std::string host, std::uint16_t port,
         std::size_t max_connections);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request and reads the whole response. A kept-alive connection
  /// that the server closed before any byte of the request was answered is
  /// not retried here: the verdict says kMayHaveRun.
  /// @param timeout from now to the whole response, waiting for a connection
  ///     included.
  /// @throws Error kWorkerUnreachable: kNotRun when no byte was sent, else
  ///     kMayHaveRun.
  [[nodiscard]] boost::asio::awaitable<Response> Send(Request request,
                                                      Duration timeout);

  /// Closes idle connections and fails requests in progress.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jasminespar::http

#endif  // JASMINESPAR_HTTP_CLIENT_H_
