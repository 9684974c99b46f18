#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "jasminespar/core/error.h"
#include "jasminespar/http/client.h"
#include "jasminespar/http/server.h"

namespace jasminespar::http {
namespace {

namespace asio = boost::asio;

asio::awaitable<Response> Echo(Request request,
                               std::shared_ptr<ConnectionState>) {
  Response response;
  response.headers.push_back({"X-Method", request.method});
  response.body = request.body + std::string(QueryOf(request.target, "q"));
  co_return response;
}

Response RejectWith(Reason reason) {
  Response response;
  response.status = HttpStatusOf(reason);
  response.body = std::string(NameOf(reason));
  return response;
}

struct Fixture {
  explicit Fixture(const ServerLimits& limits = {})
      : server(context, "127.0.0.1", 0, limits, Echo, RejectWith) {
    server.Start();
  }
  asio::io_context context{1};
  Server server;
};

/// Sends raw bytes and returns everything the server sends until it closes.
std::string ExchangeRaw(Fixture& fixture, const std::string& bytes) {
  std::string received;
  asio::ip::tcp::socket socket(fixture.context);
  socket.connect({asio::ip::make_address("127.0.0.1"), fixture.server.port()});
  asio::write(socket, asio::buffer(bytes));
  asio::async_read(
      socket, asio::dynamic_buffer(received),
      [&](boost::system::error_code, std::size_t) { fixture.context.stop(); });
  fixture.context.run();
  fixture.context.restart();
  return received;
}

TEST_CASE("all requests are answered when there are more than connections") {
  Fixture fixture;
  Client client(fixture.context, "127.0.0.1", fixture.server.port(), 2);
  int answered = 0;
  constexpr int kRequests = 50;
  for (int i = 0; i < kRequests; ++i) {
    asio::co_spawn(
        fixture.context,
        [&, i]() -> asio::awaitable<void> {
          Request request;
          request.method = "POST";
          request.target = "/x?q=" + std::to_string(i);
          request.body = "b";
          const Response response =
              co_await client.Send(std::move(request), 5s);
          CHECK(response.body == "b" + std::to_string(i));
          CHECK(HeaderOf(response.headers, "x-method") == "POST");
          if (++answered == kRequests) fixture.context.stop();
        },
        asio::detached);
  }
  fixture.context.run();
  CHECK(answered == kRequests);
  CHECK(fixture.server.connections() <= 2);
}

TEST_CASE("a request over a refused connection fails with not_run") {
  asio::io_context context(1);
  Client client(context, "127.0.0.1", 1, 1);
  Verdict verdict = Verdict::kRan;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        try {
          Request request;
          co_await client.Send(std::move(request), 1s);
        } catch (const Error& error) {
          verdict = error.verdict();
        }
      },
      asio::detached);
  context.run();
  CHECK(verdict == Verdict::kNotRun);
}

TEST_CASE("malformed input is rejected with malformed_request") {
  Fixture fixture;
  CHECK(ExchangeRaw(fixture, "nonsense\r\n\r\n").find("malformed_request") !=
        std::string::npos);
}

TEST_CASE("a header over the limit is rejected with headers_too_large") {
  ServerLimits limits;
  limits.max_header_bytes = 512;
  Fixture fixture(limits);
  const std::string request =
      "GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n";
  CHECK(ExchangeRaw(fixture, request).find("headers_too_large") !=
        std::string::npos);
}

TEST_CASE("a body over the limit is rejected with body_too_large") {
  ServerLimits limits;
  limits.max_body_bytes = 10;
  Fixture fixture(limits);
  CHECK(ExchangeRaw(fixture,
                    "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n0123456789a")
            .find("body_too_large") != std::string::npos);
}

TEST_CASE("an incomplete request is rejected with client_too_slow") {
  ServerLimits limits;
  limits.read_timeout = 50ms;
  Fixture fixture(limits);
  CHECK(
      ExchangeRaw(fixture, "GET / HTTP/1.1\r\nHost:").find("client_too_slow") !=
      std::string::npos);
}

}  // namespace
}  // namespace jasminespar::http
