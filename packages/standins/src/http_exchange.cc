#include "jasminespar/standins/http_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/http/client.h"

namespace jasminespar::standins {

namespace asio = boost::asio;

std::optional<http::Response> SendRequest(std::uint16_t port,
                                          http::Request request,
                                          Duration timeout) {
  asio::io_context context(1);
  http::Client client(context, "127.0.0.1", port, 1);
  std::optional<http::Response> result;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        try {
          result = co_await client.Send(std::move(request), timeout);
        } catch (const Error&) {
          result.reset();
        }
      },
      asio::detached);
  context.run();
  return result;
}

std::optional<http::Response> PostJson(std::uint16_t port,
                                       const std::string& path,
                                       const nlohmann::json& body,
                                       Duration timeout) {
  http::Request request;
  request.method = "POST";
  request.target = path;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = body.dump();
  return SendRequest(port, std::move(request), timeout);
}

std::optional<nlohmann::json> FetchJson(std::uint16_t port,
                                        const std::string& path,
                                        Duration timeout) {
  http::Request request;
  request.target = path;
  const auto response = SendRequest(port, std::move(request), timeout);
  if (!response || response->status != 200) return std::nullopt;
  auto body = nlohmann::json::parse(response->body, nullptr, false);
  if (body.is_discarded()) return std::nullopt;
  return body;
}

}  // namespace jasminespar::standins
