/// @file
/// Forwards TCP connections to one target, with faults.

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

/// Use on one thread; made by std::make_shared.
class TcpRoute : public std::enable_shared_from_this<TcpRoute> {
 public:
  /// Listens on 127.0.0.1.
  /// @throws std::exception when the port is taken.
  TcpRoute(boost::asio::io_context& context, std::uint16_t port,
           std::uint16_t target_port, std::uint64_t seed);

  void Start();
  void SetFaults(const LinkFaults& faults);

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  [[nodiscard]] std::uint64_t closed_by_fault() const { return closed_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Pair {
    explicit Pair(Socket socket)
        : source(std::move(socket)), target(source.get_executor()) {}
    Socket source;
    Socket target;
  };

  static boost::asio::awaitable<void> Accept(std::shared_ptr<TcpRoute> self);
  static boost::asio::awaitable<void> Connect(std::shared_ptr<TcpRoute> self,
                                              std::shared_ptr<Pair> pair);
  static boost::asio::awaitable<void> Pump(std::shared_ptr<TcpRoute> self,
                                           std::shared_ptr<Pair> pair,
                                           Direction direction);
  boost::asio::awaitable<void> WaitWhileCut(Direction direction);
  boost::asio::awaitable<void> Delay(Duration delay);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  std::mt19937_64 random_;
  LinkFaults faults_;
  boost::asio::steady_timer faults_changed_;  // Never expires; cancel wakes.
  std::uint64_t bytes_ = 0;
  std::uint64_t closed_ = 0;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_TCP_ROUTE_H_
