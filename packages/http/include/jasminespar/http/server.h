/// @file
/// HTTP/1.1 server on one io_context.

#ifndef JASMINESPAR_HTTP_SERVER_H_
#define JASMINESPAR_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminespar/core/reason.h"
#include "jasminespar/core/time.h"
#include "jasminespar/http/message.h"

namespace jasminespar::http {

struct ServerLimits {
  std::size_t max_connections = 4096;
  std::size_t max_header_bytes = 16U << 10;
  std::size_t max_body_bytes = 8U << 20;
  Duration read_timeout = 10s;   ///< For the rest of a request once begun.
  Duration idle_timeout = 120s;  ///< Between requests.
  Duration write_timeout = 30s;
};

/// Lives as long as its connection; `closed` turns true when the peer left.
struct ConnectionState {
  std::uint64_t number = 0;
  bool closed = false;
};

/// Answers one request. Runs on the server's io_context.
using Handler = std::function<boost::asio::awaitable<Response>(
    Request, std::shared_ptr<ConnectionState>)>;

/// Makes the response to a request that never reached the handler
/// (unparsable, too large, too slow); called once for each.
using RejectHandler = std::function<Response(Reason)>;

class Server {
 public:
  /// Binds and listens.
  /// @param port 0 picks a free one; see `port()`.
  /// @throws std::exception when the address cannot be bound.
  Server(boost::asio::io_context& context, const std::string& host,
         std::uint16_t port, const ServerLimits& limits, Handler handler,
         RejectHandler reject);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to accept.
  void Start();

  /// Closes the listener; open connections end after their present request.
  void StopAccepting();

  /// While wanted, each connection is closed after its next answer; new ones
  /// are still accepted.
  void CloseAfterAnswers(bool wanted);

  /// @return requests that were read and whose answers are not yet written.
  [[nodiscard]] std::size_t requests_in_progress() const;

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jasminespar::http

#endif  // JASMINESPAR_HTTP_SERVER_H_
