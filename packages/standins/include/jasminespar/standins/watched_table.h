/// @file
/// Rows of a table service with partitions, conditional transactions and a
/// history of changes, in memory and without HTTP.

#ifndef JASMINESPAR_STANDINS_WATCHED_TABLE_H_
#define JASMINESPAR_STANDINS_WATCHED_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/site/table.h"

namespace jasminespar::standins {

/// Not thread-safe.
class WatchedTable {
 public:
  /// Carries out a request.
  /// @return the outcome; nothing for a watch that has no change to report yet.
  [[nodiscard]] std::optional<site::TableOutcome> Handle(
      const site::TableRequest& request);

  /// Writes one row, without a condition.
  void Put(const site::RowKey& key, std::string value);

  /// @return how many rows have the text in their key.
  [[nodiscard]] std::size_t RowsNaming(const std::string& text) const;

  /// Forgets all changes so far, so that older watches get HistoryGone.
  void DropHistory();

  [[nodiscard]] site::RowVersion version() const noexcept { return version_; }

 private:
  struct Stored {
    std::string value;
    site::RowVersion version;
  };

  [[nodiscard]] std::optional<site::TableOutcome> On(
      const site::Transaction& transaction);
  [[nodiscard]] std::optional<site::TableOutcome> On(
      const site::RowRange& range) const;
  [[nodiscard]] std::optional<site::TableOutcome> On(
      const site::Watch& watch) const;

  [[nodiscard]] bool Holds(const site::Condition& condition) const;

  std::map<site::RowKey, Stored> rows_;
  std::vector<site::Row> history_;  ///< Every change, oldest first.
  site::RowVersion version_{1};
  site::RowVersion history_start_{0};
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_WATCHED_TABLE_H_
