/// @file
/// TCP connection between two instances. Each frame is a 4-byte big-endian
/// length and a body.

#ifndef JASMINESPAR_PEERS_FRAME_CONNECTION_H_
#define JASMINESPAR_PEERS_FRAME_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/time.h"

namespace jasminespar::peers {

/// Largest body of a frame.
inline constexpr std::size_t kMaxFrameBytes = 32U << 20;

/// Limits of one connection.
struct FrameLimits {
  std::size_t max_frame_bytes = kMaxFrameBytes;  ///< Of a body that is read.
  /// Send() fails above this: a peer that reads so slowly is treated like an
  /// unreachable one.
  std::size_t max_unsent_bytes = 64U << 20;
};

/// Callbacks; they run on the connection's io_context.
struct FrameHandlers {
  /// @return false when the body cannot be decoded; this closes the connection.
  std::function<bool(std::uint64_t connection, std::string body)> on_frame;
  /// Called once.
  std::function<void(std::uint64_t connection)> on_closed;
  /// Called when the bytes that the connection holds have changed; may close
  /// it. May be empty.
  std::function<void(std::uint64_t connection)> on_held = {};
};

/// Must be owned by a shared_ptr; its coroutines keep it alive until it is
/// closed.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  /// @param number identifies the connection in calls of the handlers.
  FrameConnection(boost::asio::io_context& context, std::uint64_t number,
                  FrameHandlers handlers, FrameLimits limits = {});

  /// Takes ownership of an accepted socket and starts reading and writing.
  void Adopt(boost::asio::ip::tcp::socket socket);

  /// Connects; bodies passed to Send() meanwhile are queued.
  void Connect(configuration::Address address, Duration timeout);

  /// Queues a body for sending.
  /// @return false, with nothing queued, when the connection is closed, too
  ///     many bytes are unsent, or the body is longer than kMaxFrameBytes.
  bool Send(const std::string& body);

  void Close();

  [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
  [[nodiscard]] bool closed() const noexcept { return closed_; }

  /// @return bytes of the frame that is being read, so far.
  [[nodiscard]] std::size_t read_bytes() const noexcept { return read_bytes_; }

  /// @return bytes that the peer has not taken yet.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept {
    return unsent_bytes_;
  }

  /// @return whether the connection was ever established, so that bytes may
  ///     have reached the peer.
  [[nodiscard]] bool ever_connected() const noexcept { return connected_; }

 private:
  using Self = std::shared_ptr<FrameConnection>;
  static boost::asio::awaitable<void> ConnectAndRun(
      Self self, configuration::Address address, Duration timeout);
  static boost::asio::awaitable<void> ReadFrames(Self self);
  /// Reads one body in pieces, so that an announced length holds no memory.
  boost::asio::awaitable<void> ReadBody(std::string& body, std::size_t size,
                                        boost::system::error_code& error);
  static boost::asio::awaitable<void> WriteFrames(Self self);
  void Start();
  void ReportHeld();

  boost::asio::io_context& context_;
  std::uint64_t number_;
  FrameHandlers handlers_;
  FrameLimits limits_;
  boost::asio::ip::tcp::socket socket_;
  /// Never expires; cancelled to wake WriteFrames().
  boost::asio::steady_timer wakeup_;
  std::deque<std::string> unsent_;
  std::size_t unsent_bytes_ = 0;
  std::size_t read_bytes_ = 0;
  bool connected_ = false;
  bool closed_ = false;
};

}  // namespace jasminespar::peers

#endif  // JASMINESPAR_PEERS_FRAME_CONNECTION_H_
