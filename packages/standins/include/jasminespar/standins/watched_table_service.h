/// @file
/// HTTP service of a WatchedTable, and the codec for its clients. Requests and
/// outcomes are encoded as in messages between instances.

#ifndef JASMINESPAR_STANDINS_WATCHED_TABLE_SERVICE_H_
#define JASMINESPAR_STANDINS_WATCHED_TABLE_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jasminespar/http/server.h"
#include "jasminespar/site/codec.h"
#include "jasminespar/standins/watched_table.h"

namespace jasminespar::standins {

/// @return the functions with which a client encodes requests to the service.
[[nodiscard]] site::TableCodec MakeWatchedTableCodec();

/// Use on one thread.
class WatchedTableService {
 public:
  /// Listens on 127.0.0.1.
  /// @throws std::exception when the port is taken.
  WatchedTableService(boost::asio::io_context& context, std::uint16_t port);

  void Start() { server_.Start(); }

  /// Writes one row, as an operator does, and wakes the watches.
  void Put(const site::RowKey& key, std::string value);

  /// Deletes one row, as an operator does, and wakes the watches.
  void Delete(const site::RowKey& key);

  /// @return how many rows have the text in their key.
  [[nodiscard]] std::size_t RowsNaming(const std::string& text) const {
    return table_.RowsNaming(text);
  }

  /// Forgets all changes so far.
  void DropHistory() { table_.DropHistory(); }

 private:
  boost::asio::awaitable<http::Response> Serve(http::Request request);
  /// @return the outcome, for a watch after a change or its longest wait.
  boost::asio::awaitable<site::TableOutcome> Handle(site::TableRequest request);
  void WakeWatches();

  boost::asio::io_context& context_;
  WatchedTable table_;
  http::Server server_;
  /// Of the watches that wait for a change, which cancels them.
  std::vector<std::shared_ptr<boost::asio::steady_timer>> watches_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_WATCHED_TABLE_SERVICE_H_
