// Tests what clients can make the server hold.
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/http/server.h"

namespace jasminespar::http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr auto kPatience = std::chrono::seconds(10);

Response RejectWith(Reason reason) {
  Response response;
  response.status = HttpStatusOf(reason);
  response.body = std::string(NameOf(reason));
  return response;
}

/// A raw client connection, whose received bytes are collected.
struct RawClient {
  explicit RawClient(asio::io_context& context) : socket(context) {}
  Tcp::socket socket;
  std::string received;
  bool closed = false;
};

/// Answers each request with its body, at once or when told to.
class Fixture {
 public:
  explicit Fixture(const ServerLimits& limits)
      : server(
            context, "127.0.0.1", 0, limits,
            [this](Request request, const std::shared_ptr<ConnectionState>&) {
              return Answer(std::move(request));
            },
            RejectWith) {
    server.Start();
  }

  std::unique_ptr<RawClient> Connect() {
    auto client = std::make_unique<RawClient>(context);
    client->socket.connect(
        {asio::ip::make_address("127.0.0.1"), server.port()});
    asio::async_read(client->socket, asio::dynamic_buffer(client->received),
                     [raw = client.get()](const boost::system::error_code&,
                                          std::size_t) { raw->closed = true; });
    RunUntil([] { return false; }, std::chrono::milliseconds(20));
    return client;
  }

  void Send(RawClient& client, const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(client.socket, asio::buffer(bytes), ignored);
  }

  template <typename Condition>
  bool RunUntil(Condition condition,
                std::chrono::milliseconds patience = kPatience) {
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(std::chrono::milliseconds(5));
      context.restart();
    }
    return condition();
  }

  bool Receives(RawClient& client, const std::string& text) {
    return RunUntil([&] { return client.received.find(text) != text.npos; });
  }

  bool Closes(RawClient& client) {
    return RunUntil([&] { return client.closed; });
  }

  asio::io_context context{1};
  bool hold_answers = false;
  std::size_t handled = 0;
  Server server;

 private:
  asio::awaitable<Response> Answer(Request request) {
    ++handled;
    while (hold_answers) {
      asio::steady_timer timer(context, std::chrono::milliseconds(2));
      co_await timer.async_wait(asio::use_awaitable);
    }
    Response response;
    response.body = request.body;
    co_return response;
  }
};

const std::string kChunkedHead =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Sized(std::size_t size, std::size_t sent) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) +
         "\r\n\r\n" + std::string(sent, 'x');
}

TEST_CASE("a chunked body with trailers and extensions is read") {
  Fixture fixture({});
  const auto client = fixture.Connect();
  fixture.Send(*client, kChunkedHead +
                            "3;name=value\r\nabc\r\n2\r\nde\r\n0\r\n"
                            "Digest: 1\r\n\r\n");
  CHECK(fixture.Receives(*client, "abcde"));
  CHECK(fixture.handled == 1);
}

TEST_CASE("a body in chunks of one byte is read") {
  Fixture fixture({});
  const auto client = fixture.Connect();
  std::string request = kChunkedHead;
  for (int i = 0; i < 20'000; ++i) request += "1\r\nx\r\n";
  fixture.Send(*client, request + "0\r\n\r\n");
  CHECK(fixture.Receives(*client, std::string(20'000, 'x')));
}

TEST_CASE("trailers over the limit are rejected") {
  ServerLimits limits;
  limits.max_header_bytes = 1024;
  limits.max_framing_bytes = 1024;
  Fixture fixture(limits);
  const auto client = fixture.Connect();
  std::string request = kChunkedHead + "1\r\nx\r\n0\r\n";
  for (int i = 0; i < 300; ++i) request += "Name: value\r\n";
  fixture.Send(*client, request);
  CHECK(fixture.Receives(*client, "framing_too_large"));
  CHECK(fixture.handled == 0);
}

TEST_CASE("extensions of many chunks over the limit are rejected") {
  ServerLimits limits;
  limits.max_header_bytes = 1024;
  limits.max_framing_bytes = 1024;
  Fixture fixture(limits);
  const auto client = fixture.Connect();
  std::string request = kChunkedHead;
  for (int i = 0; i < 100; ++i) {
    request += "1;" + std::string(200, 'e') + "\r\nx\r\n";
  }
  fixture.Send(*client, request);
  CHECK(fixture.Receives(*client, "framing_too_large"));
  CHECK(fixture.handled == 0);
}

TEST_CASE("over the memory limit the largest and oldest request is refused") {
  ServerLimits limits;
  limits.max_held_bytes = 1U << 20;
  Fixture fixture(limits);
  const auto large = fixture.Connect();
  fixture.Send(*large, Sized(500'000, 400'000));
  const auto small = fixture.Connect();
  fixture.Send(*small, Sized(100, 50));
  fixture.RunUntil([] { return false; }, std::chrono::milliseconds(100));
  CHECK(large->received.find("HTTP") == std::string::npos);
  const auto other = fixture.Connect();
  fixture.Send(*other, Sized(300'000, 290'000));
  CHECK(fixture.Receives(*large, "memory_limit"));
  CHECK(large->received.starts_with("HTTP/1.1 503"));
  CHECK(fixture.Closes(*large));
  // The others go on, and are answered.
  fixture.Send(*small, std::string(50, 'x'));
  CHECK(fixture.Receives(*small, std::string(100, 'x')));
  fixture.Send(*other, std::string(10'000, 'x'));
  CHECK(fixture.Receives(*other, std::string(300'000, 'x')));
}

TEST_CASE("a request that was read whole is answered, further ones refused") {
  ServerLimits limits;
  limits.max_held_bytes = 1U << 20;
  Fixture fixture(limits);
  fixture.hold_answers = true;
  const auto first = fixture.Connect();
  // Alone it is handled, although its copies may need more than the limit.
  fixture.Send(*first, Sized(400'000, 400'000));
  REQUIRE(fixture.RunUntil([&] { return fixture.handled == 1; }));
  const auto second = fixture.Connect();
  fixture.Send(*second, Sized(100'000, 100'000));
  CHECK(fixture.Receives(*second, "memory_limit"));
  CHECK(fixture.handled == 1);
  fixture.hold_answers = false;
  CHECK(fixture.Receives(*first, std::string(400'000, 'x')));
}

TEST_CASE("over the limit of connections the one idle for longest goes") {
  ServerLimits limits;
  limits.max_connections = 2;
  Fixture fixture(limits);
  fixture.hold_answers = true;
  const auto busy = fixture.Connect();
  fixture.Send(*busy, Sized(1, 1));
  REQUIRE(fixture.RunUntil([&] { return fixture.handled == 1; }));
  const auto idle = fixture.Connect();
  const auto third = fixture.Connect();
  CHECK(fixture.Receives(*idle, "connection_limit"));
  CHECK(fixture.Closes(*idle));
  fixture.Send(*third, Sized(5, 5));
  REQUIRE(fixture.RunUntil([&] { return fixture.handled == 2; }));
  // Both are busy now: a further one is refused.
  const auto fourth = fixture.Connect();
  fixture.Send(*fourth, Sized(5, 5));
  CHECK(fixture.Receives(*fourth, "connection_limit"));
  fixture.hold_answers = false;
  CHECK(fixture.Receives(*third, "xxxxx"));
  CHECK(fixture.Receives(*busy, "x"));
  CHECK(fixture.handled == 2);
}

TEST_CASE("far over the limit connections are closed at once") {
  ServerLimits limits;
  limits.max_connections = 1;
  Fixture fixture(limits);
  fixture.hold_answers = true;
  const auto busy = fixture.Connect();
  fixture.Send(*busy, Sized(1, 1));
  REQUIRE(fixture.RunUntil([&] { return fixture.handled == 1; }));
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 20; ++i) crowd.push_back(fixture.Connect());
  CHECK(fixture.RunUntil([&] { return fixture.server.connections() <= 2; }));
  fixture.hold_answers = false;
  CHECK(fixture.Receives(*busy, "x"));
}

TEST_CASE("a connection that stays idle is closed") {
  ServerLimits limits;
  limits.idle_timeout = 50ms;
  Fixture fixture(limits);
  const auto silent = fixture.Connect();
  CHECK(fixture.Closes(*silent));
  CHECK(silent->received.empty());
  CHECK(fixture.RunUntil([&] { return fixture.server.connections() == 0; }));
}

}  // namespace
}  // namespace jasminespar::http
