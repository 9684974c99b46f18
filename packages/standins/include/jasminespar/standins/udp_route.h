/// @file
/// Forwards datagrams to one target, in one direction, and injects faults.

#ifndef JASMINESPAR_STANDINS_UDP_ROUTE_H_
#define JASMINESPAR_STANDINS_UDP_ROUTE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "jasminespar/standins/link_faults.h"

namespace jasminespar::standins {

/// The target sees the route's own address as the sender. Use on one thread;
/// create with std::make_shared.
class UdpRoute : public std::enable_shared_from_this<UdpRoute> {
 public:
  /// Listens on 127.0.0.1.
  /// @throws std::exception when the port is taken.
  UdpRoute(boost::asio::io_context& context, std::uint16_t port,
           std::uint16_t target_port, std::uint64_t seed);

  void Start();
  void SetFaults(const LinkFaults& faults) { faults_ = faults; }

  [[nodiscard]] std::uint16_t port() const {
    return socket_.local_endpoint().port();
  }
  /// @return number of datagrams received from clients.
  [[nodiscard]] std::uint64_t received() const { return received_; }
  /// @return number of datagrams sent to the target, duplicates included.
  [[nodiscard]] std::uint64_t sent() const { return sent_; }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 64U << 10;

  void Receive();
  void Forward(const std::string& datagram);
  void Send(const std::string& datagram);

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint target_;
  boost::asio::ip::udp::endpoint source_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  std::mt19937_64 random_;
  LinkFaults faults_;
  std::uint64_t received_ = 0;
  std::uint64_t sent_ = 0;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_UDP_ROUTE_H_
