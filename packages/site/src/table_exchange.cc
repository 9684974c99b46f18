#include "jasminespar/site/table_exchange.h"

#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/site/table_path.h"

namespace jasminespar::site {

namespace asio = boost::asio;

TableExchange::TableExchange(asio::io_context& context,
                             const configuration::Address& address,
                             const TableCodec& codec,
                             std::size_t max_connections)
    : codec_(codec),
      client_(context, address.host, address.port, max_connections) {}

asio::awaitable<TableAnswer> TableExchange::Send(TableRequest request,
                                                 http::ExchangeLimits limits) {
  http::Request encoded = codec_.encode(request);
  TableAnswer answer;
  try {
    const http::Response response =
        co_await client_.Send(std::move(encoded), limits);
    answer.outcome = codec_.decode(request, response);
    answer.body_bytes = response.body.size();
    answer.transfer = response.transfer;
    if (!IsServed(answer.outcome)) {
      answer.error = "status " + std::to_string(response.status);
    }
  } catch (const Error& error) {
    answer.error = error.what();
    answer.too_large = error.reason() == Reason::kBodyTooLarge;
    if (error.verdict() == Verdict::kNotRun) answer.outcome = Refused{};
  }
  co_return answer;
}

}  // namespace jasminespar::site
