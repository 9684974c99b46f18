/// @file
/// The one client of the site's table.

#ifndef JASMINESPAR_SITE_TABLE_CLIENT_H_
#define JASMINESPAR_SITE_TABLE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/time.h"
#include "jasminespar/http/client.h"
#include "jasminespar/site/codec.h"
#include "jasminespar/site/table_path.h"

namespace jasminespar::site {

struct TableClientSettings {
  configuration::Address address;
  /// Of one reading; a healthy table answers within some tens of
  /// milliseconds, a slow one within a few hundred.
  Duration read_timeout = 700ms;
  /// Of one transaction: a slow table lets transactions of one part wait for
  /// each other up to a second. Sent again too soon, they only make it longer.
  Duration write_timeout = 1000ms;
  Duration retry_pause = 60ms;
  std::size_t max_connections = 12;
};

/// Not thread-safe: use on the io_context it was made with.
class TableClient {
 public:
  /// Puts one request to the table through a peer.
  using Relay =
      std::function<boost::asio::awaitable<TableOutcome>(TableRequest)>;

  struct Hooks {
    std::function<bool()> peer_ready;  ///< Whether `relay` is worth trying.
    Relay relay;
    /// Told of each outcome and the way it came.
    std::function<void(TablePath, const TableOutcome&)> observe;
  };

  TableClient(boost::asio::io_context& context,
              const TableClientSettings& settings, const TableCodec& codec,
              Hooks hooks);

  /// Repeats a transaction until its outcome is known or the time is over.
  /// After an attempt without an answer, a Conflict may be the transaction's
  /// own success: the caller compares the rows.
  /// @param span for all attempts.
  /// @param turned_away_span for attempts that the table turns away, when none
  ///     is uncertain; at most `span`.
  /// @return Refused only when no attempt can take effect, now or later.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> Transact(
      Transaction transaction, Duration span, Duration turned_away_span);

  /// Reads all pages of a range, repeating what fails until `span` is over.
  /// @return of a RowPage, has_more is false and the version that of the first
  ///     page.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> ReadAll(RowRange range,
                                                             Duration span);

  /// Asks once, the straight way or through a peer.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> Send(TableRequest request);

  /// Asks once, the straight way.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> SendDirect(
      TableRequest request);

  /// @return whether some way to the table is open.
  [[nodiscard]] bool reachable() const;

  /// @return whether the table served the last straight attempt.
  [[nodiscard]] bool directly_reachable() const noexcept {
    return path_.directly_reachable();
  }

  /// @return what the last straight attempt without an answer failed of.
  [[nodiscard]] const std::string& last_fault() const noexcept {
    return last_fault_;
  }

 private:
  boost::asio::io_context& context_;
  TableClientSettings settings_;
  TableCodec codec_;
  Hooks hooks_;
  TablePathChooser path_;
  std::string last_fault_;
  http::Client client_;
  http::Client watch_client_;
};

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_CLIENT_H_
