/// @file
/// Rows of the site's transactional table, and what may be asked of it.

#ifndef JASMINESPAR_SITE_TABLE_H_
#define JASMINESPAR_SITE_TABLE_H_

#include <compare>
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
  std::string
      partition;  ///< Rows of one partition change together; may be empty.
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;
  RowVersion version;
  bool deleted = false;  ///< Only in what a watch returns.
};

/// The row must have this version; 0: it must not exist.
struct Condition {
  RowKey key;
  RowVersion version;
};

/// Takes effect whole or not at all.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Row> writes;  ///< Versions are ignored.
  std::vector<RowKey> deletes;
};

struct Committed {
  RowVersion version;  ///< Of every row that was written.
};
struct Conflict {
  std::vector<Row> current;  ///< Rows of the conditions, those that exist.
};
/// Nothing was done, and asking again later may work.
struct Refused {
  int status = 0;  ///< 0: the request was never sent.
};
/// Nothing was done, and asking again will not help.
struct Malformed {
  int status = 0;
};
/// It may have been done, or may yet be.
struct NoAnswer {};
/// Rows of one partition by key, as of one moment.
struct RowRange {
  std::string table;
  std::string partition;
  std::string from;  ///< First key; empty: the lowest.
  std::string to;    ///< Key after the last; empty: no bound.
};
struct RowPage {
  std::vector<Row> rows;
  bool has_more = false;  ///< Go on from the key after the last row.
  RowVersion version;     ///< Newest of the table service.
};
/// Changes of a table after a version, in order.
struct Watch {
  std::string table;
  RowVersion after;
  Duration wait{};  ///< For a change.
};
/// The changes asked for are no longer kept: read the table whole.
struct HistoryGone {};

/// One request to the table, and what came of it: Committed or Conflict for a
/// transaction, RowPage for a range or a watch, HistoryGone for a watch.
using TableRequest = std::variant<Transaction, RowRange, Watch>;
using TableOutcome = std::variant<Committed, Conflict, RowPage, HistoryGone,
                                  Refused, Malformed, NoAnswer>;

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_H_
