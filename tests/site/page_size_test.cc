// Reads through a peer whose pages must be small enough for their time.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "jasminespar/site/table_client.h"

namespace jasminespar::site {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kRows = 300;
constexpr std::size_t kRowsInTime = 60;

std::string KeyOf(std::size_t index) {
  return std::string(index < 10    ? "00"
                     : index < 100 ? "0"
                                   : "") +
         std::to_string(index);
}

/// Answers as a peer does that has time for kRowsInTime rows.
asio::awaitable<TableOutcome> RelayInTime(TableRequest request) {
  const auto& range = std::get<RowRange>(request);
  RowPage page;
  for (std::size_t i = 0; i < kRows; ++i) {
    if (KeyOf(i) < range.from) continue;
    if (range.limit > 0 && page.rows.size() == range.limit) {
      page.has_more = true;
      break;
    }
    Row row;
    row.key.key = KeyOf(i);
    page.rows.push_back(row);
  }
  TableOutcome outcome = NoAnswer{};
  if (page.rows.size() <= kRowsInTime) outcome = page;
  co_return outcome;
}

/// @return a port of this machine on which nothing listens.
std::uint16_t ClosedPort(asio::io_context& context) {
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

asio::awaitable<TableOutcome> ReadAll(TableClient& client) {
  TableOutcome outcome = NoAnswer{};
  while (!std::holds_alternative<RowPage>(outcome)) {
    RowRange range;
    range.table = "jobs";
    outcome = co_await client.ReadAll(std::move(range), 2s);
  }
  co_return outcome;
}

TEST_CASE(
    "pages too long for a relayed read do not keep a table from loading") {
  asio::io_context context{1};
  TableClientSettings settings;
  settings.address = {"127.0.0.1", ClosedPort(context)};
  TableClient client(
      context, settings,
      TableCodec{[](const TableRequest&) { return http::Request{}; }, nullptr},
      {[] { return true; },
       [](TableRequest request) { return RelayInTime(std::move(request)); },
       [](TablePath, const TableOutcome&) {}});
  auto loaded = asio::co_spawn(context, ReadAll(client), asio::use_future);
  context.run_for(std::chrono::seconds(20));
  REQUIRE(loaded.wait_for(std::chrono::seconds(0)) ==
          std::future_status::ready);
  const TableOutcome outcome = loaded.get();
  CHECK(std::get<RowPage>(outcome).rows.size() == kRows);
}

}  // namespace
}  // namespace jasminespar::site
