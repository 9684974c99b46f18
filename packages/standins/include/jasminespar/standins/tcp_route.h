/// @file
/// Forwards TCP connections to one target and injects faults.

#ifndef JASMINESPAR_STANDINS_TCP_ROUTE_H_
#define JASMINESPAR_STANDINS_TCP_ROUTE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <random>

#include "jasminespar/standins/link_faults.h"

namespace jasminespar::standins {

/// Use on one thread; create with std::make_shared.
class TcpRoute : public std::enable_shared_from_this<TcpRoute> {
 public:
  /// Listens on 127.0.0.1.
  /// @throws std::exception when the port is taken.
  TcpRoute(boost::asio::io_context& context, std::uint16_t port,
           std::uint16_t target_port, std::uint64_t seed);

  void Start();
  /// Also applies to open connections.
  void SetFaults(const LinkFaults& faults);

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  /// @return bytes forwarded in both directions.
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  /// @return number of connections that a fault closed.
  [[nodiscard]] std::uint64_t closed_by_fault() const {
    return closed_by_fault_;
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection {
    explicit Connection(Socket socket)
        : source(std::move(socket)), target(source.get_executor()) {}
    Socket source;
    Socket target;
  };

  static boost::asio::awaitable<void> Accept(std::shared_ptr<TcpRoute> self);
  static boost::asio::awaitable<void> Connect(
      std::shared_ptr<TcpRoute> self, std::shared_ptr<Connection> connection);
  static boost::asio::awaitable<void> Relay(
      std::shared_ptr<TcpRoute> self, std::shared_ptr<Connection> connection,
      Direction direction);
  boost::asio::awaitable<void> WaitWhileCut(Direction direction);
  boost::asio::awaitable<void> Delay(Duration delay);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  std::mt19937_64 random_;
  LinkFaults faults_;
  boost::asio::steady_timer faults_changed_;  // Woken by cancel() only.
  std::uint64_t bytes_ = 0;
  std::uint64_t closed_by_fault_ = 0;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_TCP_ROUTE_H_
