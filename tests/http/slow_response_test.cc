// Limits of an exchange whose response arrives in pieces.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <string>

#include "jasminespar/core/error.h"
#include "jasminespar/http/client.h"

namespace jasminespar::http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Duration kPause = 50ms;
constexpr Duration kLongPause = 500ms;
constexpr int kPieces = 10;

/// Answers one request with a body of `kPieces` bytes, sent one by one.
class PiecewiseServer {
 public:
  /// @param sent how many pieces to send; then the server is silent.
  PiecewiseServer(asio::io_context& context, int sent)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(context, Serve(sent), asio::detached);
  }

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }

 private:
  asio::awaitable<void> Serve(int sent) {
    Tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                    "\r\n\r\n", asio::use_awaitable);
    const std::string header =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces) +
        "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(header),
                               asio::use_awaitable);
    asio::steady_timer timer(socket.get_executor());
    for (int i = 0; i < sent; ++i) {
      timer.expires_after(kPause);
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer("x", 1),
                                 asio::use_awaitable);
    }
    timer.expires_after(10 * kLongPause);
    co_await timer.async_wait(asio::use_awaitable);
  }

  Tcp::acceptor acceptor_;
};

/// @throws Error as the client does.
Response Exchange(int sent, const ExchangeLimits& limits) {
  asio::io_context context{1};
  PiecewiseServer server(context, sent);
  Client client(context, "127.0.0.1", server.port(), 1);
  auto response =
      asio::co_spawn(context, client.Send(Request{}, limits), asio::use_future);
  while (response.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    context.run_one();
  }
  return response.get();
}

ExchangeLimits LimitsWithIdle() {
  ExchangeLimits limits;
  limits.response = kLongPause;
  limits.idle = kLongPause;
  return limits;
}

TEST_CASE("a response that goes on arriving is not abandoned") {
  ExchangeLimits limits = LimitsWithIdle();
  limits.response = 4 * kPause;
  CHECK(Exchange(kPieces, limits).body == std::string(kPieces, 'x'));
}

TEST_CASE("a response that stops is abandoned and says what was received") {
  try {
    static_cast<void>(Exchange(3, LimitsWithIdle()));
    FAIL("no error");
  } catch (const Error& error) {
    CHECK(std::string(error.what()).find("received 3 of 10 bytes") !=
          std::string::npos);
    CHECK(error.verdict() == Verdict::kMayHaveRun);
  }
}

TEST_CASE("without a limit of pauses the whole exchange is limited") {
  ExchangeLimits limits;
  limits.response = 4 * kPause;
  CHECK_THROWS_AS(Exchange(kPieces, limits), Error);
}

TEST_CASE("a response above the limit of its body is rejected") {
  ExchangeLimits limits = LimitsWithIdle();
  limits.max_body_bytes = kPieces - 1;
  try {
    static_cast<void>(Exchange(0, limits));
    FAIL("no error");
  } catch (const Error& error) {
    CHECK(error.reason() == Reason::kBodyTooLarge);
  }
}

TEST_CASE("a request whose time passed during the connect is not sent") {
  int asked = 0;
  ExchangeLimits limits;
  limits.response = 10 * kLongPause;
  limits.may_send = [&asked] {
    ++asked;
    return false;
  };
  try {
    static_cast<void>(Exchange(kPieces, limits));
    FAIL("sent");
  } catch (const Error& error) {
    CHECK(error.verdict() == Verdict::kNotRun);
  }
  CHECK(asked == 1);
}

}  // namespace
}  // namespace jasminespar::http
