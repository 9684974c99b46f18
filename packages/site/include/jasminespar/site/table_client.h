/// @file
/// The one client of the site's table.

#ifndef JASMINESPAR_SITE_TABLE_CLIENT_H_
#define JASMINESPAR_SITE_TABLE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/time.h"
#include "jasminespar/http/client.h"
#include "jasminespar/site/codec.h"

namespace jasminespar::site {

struct TableClientSettings {
  configuration::Address address;
  /// Of one request; a healthy table answers within some tens of
  /// milliseconds, a slow one within a few hundred.
  Duration request_timeout = 900ms;
  Duration retry_pause = 60ms;
  std::size_t max_connections = 12;
};

/// What the client sees of the table as a whole.
enum class TableHealth : std::uint8_t { kAnswered, kFailed };

/// Not thread-safe: use on the io_context it was made with.
class TableClient {
 public:
  using Observer = std::function<void(TableHealth)>;

  /// @param observer is told of each answer and failure.
  TableClient(boost::asio::io_context& context,
              const TableClientSettings& settings, const TableCodec& codec,
              Observer observer);

  /// Repeats a transaction until its outcome is known or the time is over.
  /// After an attempt without an answer, a Conflict may be the transaction's
  /// own success: the caller compares the rows.
  /// @param span for all attempts.
  /// @return TurnedAway only when no attempt can take effect, now or later.
  [[nodiscard]] boost::asio::awaitable<TransactionOutcome> Transact(
      Transaction transaction, Duration span);

  [[nodiscard]] boost::asio::awaitable<ReadOutcome> Read(RowRange range);

  /// Reads all pages of a range, repeating what fails until `span` is over.
  /// @return has_more is false, and the version that of the first page.
  [[nodiscard]] boost::asio::awaitable<ReadOutcome> ReadAll(RowRange range,
                                                            Duration span);

  [[nodiscard]] boost::asio::awaitable<WatchOutcome> Changes(Watch watch);

 private:
  [[nodiscard]] boost::asio::awaitable<std::optional<http::Response>> Ask(
      http::Request request, Duration timeout);

  boost::asio::io_context& context_;
  TableClientSettings settings_;
  TableCodec codec_;
  Observer observer_;
  http::Client client_;
  http::Client watch_client_;
};

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_CLIENT_H_
