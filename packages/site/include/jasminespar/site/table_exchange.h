/// @file
/// Single requests to the table service, direct and without retries.

#ifndef JASMINESPAR_SITE_TABLE_EXCHANGE_H_
#define JASMINESPAR_SITE_TABLE_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/time.h"
#include "jasminespar/http/client.h"
#include "jasminespar/site/codec.h"

namespace jasminespar::site {

struct TableAnswer {
  TableOutcome outcome = NoAnswer{};
  std::string error;           ///< Why the table did not serve the request.
  bool too_large = false;      ///< Abandoned at the limit of the body.
  std::size_t body_bytes = 0;  ///< Of the response.
  Duration transfer{};  ///< From the first byte of the response to its last.
};

/// Not thread-safe; used only on the io_context passed to the constructor.
class TableExchange {
 public:
  TableExchange(boost::asio::io_context& context,
                const configuration::Address& address, const TableCodec& codec,
                std::size_t max_connections);

  [[nodiscard]] boost::asio::awaitable<TableAnswer> Send(
      TableRequest request, http::ExchangeLimits limits);

 private:
  TableCodec codec_;
  http::Client client_;
};

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_EXCHANGE_H_
