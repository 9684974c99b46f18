/// @file
/// The users' table service in memory, with the requests and answers of their
/// platform, so that an instance can run as a process of its own.

#ifndef JASMINESPAR_TESTS_HOSTILE_CLIENTS_PLATFORM_TABLE_H_
#define JASMINESPAR_TESTS_HOSTILE_CLIENTS_PLATFORM_TABLE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "jasminespar/http/server.h"
#include "jasminespar/standins/watched_table.h"

namespace jasminespar::hostile_clients {

/// Use on one thread. Row values stay in base64, as they are sent.
class PlatformTable {
 public:
  /// Listens on 127.0.0.1.
  /// @throws std::exception when the port is taken.
  PlatformTable(boost::asio::io_context& context, std::uint16_t port);

  void Start() { server_.Start(); }

  /// Writes the operator's configuration.
  /// @param base64 the value of its row.
  void PutConfiguration(std::string base64);

 private:
  boost::asio::awaitable<http::Response> Serve(http::Request request);

  boost::asio::io_context& context_;
  standins::WatchedTable table_;
  http::Server server_;
};

}  // namespace jasminespar::hostile_clients

#endif  // JASMINESPAR_TESTS_HOSTILE_CLIENTS_PLATFORM_TABLE_H_
