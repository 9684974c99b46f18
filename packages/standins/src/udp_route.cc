#include "jasminespar/standins/udp_route.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jasminespar::standins {

namespace asio = boost::asio;
using boost::system::error_code;

UdpRoute::UdpRoute(asio::io_context& context, std::uint16_t port,
                   std::uint16_t target_port, std::uint64_t seed)
    : context_(context),
      socket_(context, {asio::ip::address_v4::loopback(), port}),
      target_(asio::ip::address_v4::loopback(), target_port),
      random_(seed) {}

void UdpRoute::Start() { Receive(); }

void UdpRoute::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), source_,
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        if (error == asio::error::operation_aborted) return;
        if (!error) self->Forward(std::string(self->buffer_.data(), bytes));
        // An error reports that an earlier datagram met a closed port; ignore
        // it.
        self->Receive();
      });
}

void UdpRoute::Forward(const std::string& datagram) {
  ++received_;
  for (const Duration delay : ChooseDatagramDelays(faults_, random_)) {
    if (delay == Duration{}) {
      Send(datagram);
      continue;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait(
        [self = shared_from_this(), timer, datagram](error_code cancelled) {
          if (!cancelled) self->Send(datagram);
        });
  }
}

void UdpRoute::Send(const std::string& datagram) {
  error_code ignored;
  socket_.send_to(asio::buffer(datagram), target_, 0, ignored);
  ++sent_;
}

}  // namespace jasminespar::standins
