/// @file
/// Forwards datagrams to one target, with faults; one way.

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

/// Use on one thread; made by std::make_shared. The target sees the route's
/// own address as the sender.
class UdpRoute : public std::enable_shared_from_this<UdpRoute> {
 public:
  /// @throws std::exception when the port is taken.
  UdpRoute(boost::asio::io_context& context, std::uint16_t port,
           std::uint16_t target_port, std::uint64_t seed);

  void Start();
  void SetFaults(const LinkFaults& faults) { faults_ = faults; }

  [[nodiscard]] std::uint16_t port() const {
    return socket_.local_endpoint().port();
  }
  [[nodiscard]] std::uint64_t received() const { return received_; }
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
