#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "jasminespar/core/error.h"
#include "jasminespar/http/client.h"
#include "jasminespar/http/server.h"
#include "jasminespar/standins/link_faults.h"
#include "jasminespar/standins/responses.h"
#include "jasminespar/standins/tcp_route.h"

namespace jasminespar::standins {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kBodyBytes = 100'000;

asio::awaitable<http::Response> Answer(http::Request,
                                       std::shared_ptr<http::ConnectionState>) {
  http::Response response;
  response.body.assign(kBodyBytes, 'x');
  co_return response;
}

struct Fixture {
  Fixture()
      : server(context, "127.0.0.1", 0, http::ServerLimits{}, Answer,
               RejectionResponse),
        route(std::make_shared<TcpRoute>(context, 0, server.port(), 1)) {
    server.Start();
    route->Start();
  }

  /// @return size of the response's body, 0 when the request failed.
  std::size_t Fetch(Duration timeout) {
    std::size_t bytes = 0;
    asio::co_spawn(
        context,
        [this, &bytes, timeout]() -> asio::awaitable<void> {
          http::Client client(context, "127.0.0.1", route->port(), 1);
          try {
            http::Request request;
            const http::Response response =
                co_await client.Send(std::move(request), timeout);
            bytes = response.body.size();
          } catch (const Error&) {
            bytes = 0;
          }
          context.stop();
        },
        asio::detached);
    context.run();
    context.restart();
    return bytes;
  }

  asio::io_context context{1};
  http::Server server;
  std::shared_ptr<TcpRoute> route;
};

TEST_CASE("a route without faults forwards everything") {
  Fixture f;
  CHECK(f.Fetch(10s) == kBodyBytes);
}

TEST_CASE("a cut holds back the bytes of its direction until it ends") {
  Fixture f;
  LinkFaults faults;
  SECTION("to the target") { faults.cut_to_target = true; }
  SECTION("to the source") { faults.cut_to_source = true; }
  f.route->SetFaults(faults);
  CHECK(f.Fetch(100ms) == 0);
  f.route->SetFaults({});
  CHECK(f.Fetch(10s) == kBodyBytes);
}

TEST_CASE("a connection closed within a response gives no complete response") {
  Fixture f;
  LinkFaults faults;
  faults.close_probability = 1;
  f.route->SetFaults(faults);
  CHECK(f.Fetch(10s) == 0);
  CHECK(f.route->closed_by_fault() > 0);
}

TEST_CASE("datagrams are dropped, duplicated and delayed as configured") {
  std::mt19937_64 random(1);
  LinkFaults faults;
  CHECK(ChooseDatagramDelays(faults, random) == std::vector<Duration>{0ms});
  faults.duplicate_probability = 1;
  faults.delay = 5ms;
  CHECK(ChooseDatagramDelays(faults, random) ==
        std::vector<Duration>{5ms, 5ms});
  faults.reorder_probability = 1;
  CHECK(ChooseDatagramDelays(faults, random)[0] > 5ms);
  faults.drop_probability = 1;
  CHECK(ChooseDatagramDelays(faults, random).empty());
}

}  // namespace
}  // namespace jasminespar::standins
