#include "jasminespar/control/site.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/http/client.h"

namespace jasminespar::control {

namespace {

namespace asio = boost::asio;

asio::awaitable<void> Send(http::Client* client, http::Request request,
                           Duration timeout, ExchangeResult* result) {
  try {
    *result = co_await client->Send(std::move(request), timeout);
  } catch (const Error& error) {
    *result = NoAnswer{error.verdict(), error.what()};
  }
}

ExchangeResult SendTo(const configuration::Address& server,
                      const http::Request& request, Duration timeout) {
  asio::io_context context(1);
  http::Client client(context, server.host, server.port, 1);
  ExchangeResult result = NoAnswer{Verdict::kMayHaveRun, "internal error"};
  asio::co_spawn(context, Send(&client, request, timeout, &result),
                 asio::detached);
  context.run();
  return result;
}

}  // namespace

Exchange MakeExchange(std::vector<configuration::Address> servers,
                      Duration timeout) {
  return [servers = std::move(servers),
          timeout](const http::Request& request) -> ExchangeResult {
    NoAnswer failure;
    for (const configuration::Address& server : servers) {
      ExchangeResult result = SendTo(server, request, timeout);
      const auto* no_answer = std::get_if<NoAnswer>(&result);
      if (no_answer == nullptr) return result;
      failure.verdict = CombineVerdicts(failure.verdict, no_answer->verdict);
      failure.detail += server.host + ":" + std::to_string(server.port) + ": " +
                        no_answer->detail + "\n";
    }
    return failure;
  };
}

}  // namespace jasminespar::control
