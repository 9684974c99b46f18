/// @file
/// One TCP connection between instances: frames of a 4-byte big-endian length
/// and a body.

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

/// Largest body of a frame; bytes.
inline constexpr std::size_t kMaxFrameBytes = 32U << 20;

/// Callbacks run on the connection's io_context. `on_closed` is called once.
struct FrameHandlers {
  /// @return false to close the connection: the body is not understood.
  std::function<bool(std::uint64_t connection, std::string body)> on_frame;
  std::function<void(std::uint64_t connection)> on_closed;
};

/// Held by shared_ptr; its coroutines keep it alive until it is closed.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  FrameConnection(boost::asio::io_context& context, std::uint64_t number,
                  FrameHandlers handlers);

  /// Takes over an accepted socket.
  void Adopt(boost::asio::ip::tcp::socket socket);

  /// Connects; messages sent meanwhile wait.
  void Connect(configuration::Address address, Duration timeout);

  /// @return false, with nothing sent, when the connection is closed or holds
  ///     too many unsent bytes.
  bool Send(const std::string& body);

  void Close();

  [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
  [[nodiscard]] bool closed() const noexcept { return closed_; }

  /// @return whether any byte may have reached the peer.
  [[nodiscard]] bool ever_connected() const noexcept { return open_; }

 private:
  using Self = std::shared_ptr<FrameConnection>;
  static boost::asio::awaitable<void> ConnectAndRun(
      Self self, configuration::Address address, Duration timeout);
  static boost::asio::awaitable<void> ReadFrames(Self self);
  static boost::asio::awaitable<void> WriteFrames(Self self);
  void Start();

  boost::asio::io_context& context_;
  std::uint64_t number_;
  FrameHandlers handlers_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer signal_;  // Cancelled when something changed.
  std::deque<std::string> unsent_;
  std::size_t unsent_bytes_ = 0;
  bool open_ = false;
  bool closed_ = false;
};

}  // namespace jasminespar::peers

#endif  // JASMINESPAR_PEERS_FRAME_CONNECTION_H_
