/// @file
/// Client of the site's table service, used by every access to it.

#ifndef JASMINESPAR_SITE_TABLE_CLIENT_H_
#define JASMINESPAR_SITE_TABLE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/time.h"
#include "jasminespar/site/codec.h"
#include "jasminespar/site/table_exchange.h"
#include "jasminespar/site/table_path.h"

namespace jasminespar::site {

struct TableClientSettings {
  configuration::Address address;
  /// From a read to the first byte of its response. A healthy table answers
  /// within some tens of milliseconds, a slow one within a few hundred.
  Duration read_timeout = 700ms;
  /// From a transaction to the first byte of its response. In a slow table,
  /// transactions of one partition wait for each other for up to a second;
  /// retries sent earlier only lengthen that wait.
  Duration write_timeout = 1000ms;
  /// Longest pause within a message. However long a message is, it is not
  /// abandoned while its transfer goes on.
  Duration idle_timeout = 1000ms;
  Duration retry_delay = 60ms;
  std::size_t max_connections = 12;
};

/// Not thread-safe; used only on the io_context passed to the constructor.
class TableClient {
 public:
  /// Sends one request to the table through a peer.
  using Relay =
      std::function<boost::asio::awaitable<TableOutcome>(TableRequest)>;

  struct Callbacks {
    /// Whether a peer can relay requests to the table.
    std::function<bool()> relay_available;
    Relay relay;
    /// Called with the path and the outcome of each attempt.
    std::function<void(TablePath, const TableOutcome&)> on_outcome;
  };

  TableClient(boost::asio::io_context& context,
              const TableClientSettings& settings, const TableCodec& codec,
              Callbacks callbacks);

  /// Retries a transaction until its outcome is known or the timeout expires.
  /// After an attempt without an answer, a Conflict may mean that this attempt
  /// was committed; the caller has to compare the rows.
  /// @param timeout for all attempts together.
  /// @param refused_timeout for all attempts together while none is uncertain
  ///     (each was refused) or the table is unreachable; at most `timeout`.
  /// @return Refused only when no attempt took effect or still can.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> Transact(
      Transaction transaction, Duration timeout, Duration refused_timeout);

  /// Reads all pages of a range and retries failed reads.
  /// @param timeout after which a failed read is not retried.
  /// @return if successful, a RowPage without has_more and with the version of
  ///     the first page; otherwise the outcome of the failed read.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> ReadAll(RowRange range,
                                                             Duration timeout);

  /// Makes one attempt, direct or through a peer.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> Send(TableRequest request);

  /// Makes one direct attempt.
  [[nodiscard]] boost::asio::awaitable<TableOutcome> SendDirect(
      TableRequest request);

  /// Records a direct attempt that was made elsewhere in this process.
  /// @param error why the table did not serve it.
  void RecordDirectOutcome(const TableOutcome& outcome,
                           const std::string& error);

  /// @return whether the table is reachable, directly or through a peer.
  [[nodiscard]] bool reachable() const;

  /// @return whether the table served the last direct attempt.
  [[nodiscard]] bool directly_reachable() const noexcept {
    return path_.direct_path_served();
  }

  /// @return why the last direct attempt that the table did not serve failed.
  [[nodiscard]] const std::string& last_error() const noexcept {
    return last_error_;
  }

 private:
  /// Rows in one page, as the table limits them.
  static constexpr std::size_t kMaxPageRows = 500;

  /// Halves the rows of a page after a read without an answer: through a peer a
  /// page must be transferred twice within the time of one relayed request.
  void AdaptPageRows(const TableOutcome& outcome);

  boost::asio::io_context& context_;
  TableClientSettings settings_;
  Callbacks callbacks_;
  TablePathChooser path_;
  std::string last_error_;
  std::size_t page_rows_ = kMaxPageRows;  ///< Asked for in the next read.
  TableExchange requests_;
  TableExchange watches_;
};

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_CLIENT_H_
