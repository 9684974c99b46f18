#include "hostile_clients/platform_table.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "fleet/table_messages.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::hostile_clients {

namespace asio = boost::asio;

namespace {

constexpr int kNotFound = 404;

/// Time between two looks of a watch for changes.
constexpr Duration kWatchPoll = 50ms;

http::Response RejectUnread(Reason reason) {
  http::Response response;
  response.status = HttpStatusOf(reason);
  return response;
}

}  // namespace

PlatformTable::PlatformTable(asio::io_context& context, std::uint16_t port)
    : context_(context),
      server_(
          context, "127.0.0.1", port, http::ServerLimits{},
          [this](http::Request request,
                 const std::shared_ptr<http::ConnectionState>&) {
            return Serve(std::move(request));
          },
          RejectUnread) {}

void PlatformTable::PutConfiguration(std::string base64) {
  table_.Put({"op", "", "config"}, std::move(base64));
}

asio::awaitable<http::Response> PlatformTable::Serve(http::Request request) {
  const std::optional<site::TableRequest> wanted =
      fleet::ToTableRequest(request);
  if (!wanted) {
    http::Response response;
    response.status = kNotFound;
    co_return response;
  }
  std::optional<site::TableOutcome> outcome = table_.Handle(*wanted);
  const auto* watch = std::get_if<site::Watch>(&*wanted);
  const TimePoint deadline =
      runtime::SteadyNow() + (watch != nullptr ? watch->wait : Duration{});
  while (!outcome && runtime::SteadyNow() + kWatchPoll < deadline) {
    asio::steady_timer timer(context_, kWatchPoll);
    co_await timer.async_wait(asio::use_awaitable);
    outcome = table_.Handle(*wanted);
  }
  if (!outcome) outcome = site::RowPage{{}, false, table_.version()};
  co_return fleet::ToResponse(*outcome);
}

}  // namespace jasminespar::hostile_clients
