/// @file
/// Rows of the site's transactional table service, the requests to it and
/// their outcomes.

#ifndef JASMINESPAR_SITE_TABLE_H_
#define JASMINESPAR_SITE_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/core/time.h"
#include "jasminespar/jobs/ownership.h"

namespace jasminespar::site {

using jobs::RowVersion;

struct RowKey {
  std::string table;
  /// The rows of one partition can change in one transaction. May be empty.
  std::string partition;
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;
  RowVersion version;
  bool deleted = false;  ///< Set only in the outcome of a watch.
};

/// The row must have this version; 0 when it must not exist.
struct Condition {
  RowKey key;
  RowVersion version;
};

/// Atomic: all of it takes effect, or nothing.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Row> writes;  ///< Versions are ignored.
  std::vector<RowKey> deletes;
};

struct Committed {
  RowVersion version;  ///< New version of every written row.
};
struct Conflict {
  std::vector<Row> current;  ///< Existing rows that the conditions name.
};
/// The request had no effect; a retry may succeed.
struct Refused {
  int status = 0;  ///< HTTP status; 0 when the request was never sent.
};
/// The request had no effect; a retry will fail too.
struct Malformed {
  int status = 0;  ///< HTTP status.
};
/// The request may have taken effect, or may still do so.
struct NoAnswer {};
/// Request for the rows of one partition in the order of their keys, as of one
/// point in time.
struct RowRange {
  std::string table;
  std::string partition;
  std::string from;  ///< Lowest key, inclusive; empty for no bound.
  std::string to;    ///< Highest key, exclusive; empty for no bound.
  /// Most rows of one page; 0 for the table's own limit.
  std::size_t limit = 0;
};
struct RowPage {
  std::vector<Row> rows;
  /// Of a range: the next page starts after the last row's key. Of a watch:
  /// the page is full, so that newer changes may exist.
  bool has_more = false;
  /// Newest version in the table service; of a full page of a watch, that of
  /// its last row.
  RowVersion version;
};
/// Request for the changes of a table after a version, in order.
struct Watch {
  std::string table;
  RowVersion after;
  Duration wait{};  ///< Longest wait for a change.
};
/// The requested changes are no longer kept; the caller has to read the whole
/// table.
struct HistoryGone {};

/// One request to the table service and its outcome: Committed or Conflict for
/// a transaction, RowPage for a range or a watch, HistoryGone for a watch;
/// Refused, Malformed or NoAnswer for any of them.
using TableRequest = std::variant<Transaction, RowRange, Watch>;
using TableOutcome = std::variant<Committed, Conflict, RowPage, HistoryGone,
                                  Refused, Malformed, NoAnswer>;

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_H_
