/// @file
/// HTTP/1.1 server on one io_context.

#ifndef JASMINESPAR_HTTP_SERVER_H_
#define JASMINESPAR_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "jasminespar/core/reason.h"
#include "jasminespar/core/time.h"
#include "jasminespar/http/message.h"

namespace jasminespar::http {

struct ServerLimits {
  /// A connection above the limit takes the place of the one that has been idle
  /// for longest. If none is, it is accepted, and its first request is rejected
  /// with kConnectionLimit; far above the limit it is closed at once.
  std::size_t max_connections = 4096;
  std::size_t max_header_bytes = 16U << 10;
  std::size_t max_body_bytes = 8U << 20;
  /// Trailers, chunk extensions and the framing of chunks, beyond 8 bytes for
  /// each byte of the body.
  std::size_t max_framing_bytes = 16U << 10;
  /// Of all requests and answers together. Above it, connections end as
  /// clients::ClientBudget decides, and requests are rejected with
  /// kMemoryLimit.
  std::size_t max_held_bytes = std::numeric_limits<std::size_t>::max();
  Duration read_timeout = 10s;   ///< From a request's first byte to its last.
  Duration idle_timeout = 120s;  ///< Between requests.
  Duration write_timeout = 30s;  ///< For one response.
};

/// State of one connection, shared between the server and the handler.
struct ConnectionState {
  std::uint64_t number = 0;  ///< Unique within the server, from 1.
  bool closed = false;       ///< Set once the connection has ended.
};

/// Handles one request and returns its response. Runs on the server's
/// io_context.
using Handler = std::function<boost::asio::awaitable<Response>(
    Request, std::shared_ptr<ConnectionState>)>;

/// Builds the response to a request that is rejected before the handler is
/// called: malformed, too large, too slow or over a limit of the server. Called
/// once for each rejected request.
using RejectHandler = std::function<Response(Reason)>;

/// Accepts connections and calls the handler for each request. All but
/// requests_in_progress() and port() must be called on the thread that runs the
/// io_context, or while nothing runs it.
class Server {
 public:
  /// Binds the address and listens.
  /// @param port 0 lets the system choose a free port; see port().
  /// @throws std::exception when the address cannot be bound.
  Server(boost::asio::io_context& context, const std::string& host,
         std::uint16_t port, const ServerLimits& limits, Handler handler,
         RejectHandler reject);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to accept connections.
  void Start();

  /// Closes the listening socket. An open connection is closed after the
  /// response to its current or next request, or after the idle timeout.
  void StopAccepting();

  /// While enabled, each connection is closed after its next response. New
  /// connections are still accepted.
  void CloseAfterResponses(bool enabled);

  /// Sets the limit for requests whose header is read from now on.
  void SetMaxBodyBytes(std::size_t bytes);

  /// @return the number of requests that were read and whose responses are not
  ///     yet written. Thread-safe.
  [[nodiscard]] std::size_t requests_in_progress() const;

  /// @return the port that the server listens on.
  [[nodiscard]] std::uint16_t port() const;

  /// @return the number of open connections.
  [[nodiscard]] std::size_t connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jasminespar::http

#endif  // JASMINESPAR_HTTP_SERVER_H_
