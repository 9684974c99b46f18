// Pool of connections of a client.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "jasminespar/core/error.h"
#include "jasminespar/http/client.h"

namespace jasminespar::http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int kConnections = 2;
constexpr int kRequests = 8;
constexpr Duration kTimeout = 100ms;
constexpr Duration kLater = 40ms;

/// Answers each request on any number of connections, or none of them.
class Server {
 public:
  explicit Server(asio::io_context& context)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }

  bool answers = false;

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto socket = std::make_shared<Tcp::socket>(
          co_await acceptor_.async_accept(asio::use_awaitable));
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<Tcp::socket> socket) {
    std::string request;
    while (true) {
      const std::size_t size = co_await asio::async_read_until(
          *socket, asio::dynamic_buffer(request), "\r\n\r\n",
          asio::use_awaitable);
      request.erase(0, size);
      if (!answers) continue;
      const std::string response =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(*socket, asio::buffer(response),
                                 asio::use_awaitable);
    }
  }

  Tcp::acceptor acceptor_;
};

// Guards against a pool that loses connections for good (review/14): a request
// whose deadline passed just as a slot was reserved for it never gave it back.
TEST_CASE("requests that time out while they wait take no connection") {
  asio::io_context context{1};
  Server server(context);
  Client client(context, "127.0.0.1", server.port(), kConnections);
  int ended = 0;
  int answered = 0;
  const auto send = [&](Duration timeout) {
    asio::co_spawn(context, client.Send(Request{"GET", "/", {}, {}}, timeout),
                   [&](std::exception_ptr error, const Response&) {
                     ++ended;
                     if (error == nullptr) ++answered;
                   });
  };
  const auto run_until = [&](int count) {
    while (ended < count) context.run_one();
  };
  asio::steady_timer first(context);
  asio::steady_timer second(context);
  const auto block_at = [](asio::steady_timer& timer, Duration at,
                           Duration lasts) {
    timer.expires_after(at);
    timer.async_wait([lasts](const boost::system::error_code&) {
      std::this_thread::sleep_for(lasts);
    });
  };
  for (int i = 0; i < kRequests; ++i) {
    send(i < kConnections ? kTimeout : kTimeout + kLater);
  }
  // The thread is busy, so that it finds the deadlines of the requests with a
  // connection first, and those of the others before it has ended the former.
  block_at(first, kTimeout - kLater / 2, kLater);
  block_at(second, kTimeout + kLater / 4, kLater);
  run_until(kRequests);
  REQUIRE(answered == 0);
  server.answers = true;
  for (int i = 0; i < kRequests; ++i) send(100 * kTimeout);
  run_until(2 * kRequests);
  CHECK(answered == kRequests);
}

}  // namespace
}  // namespace jasminespar::http
