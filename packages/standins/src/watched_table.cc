#include "jasminespar/standins/watched_table.h"

#include <algorithm>
#include <utility>

namespace jasminespar::standins {

namespace {

constexpr std::size_t kPageRows = 500;

}  // namespace

std::optional<site::TableOutcome> WatchedTable::Handle(
    const site::TableRequest& request) {
  return std::visit([this](const auto& alternative) { return On(alternative); },
                    request);
}

void WatchedTable::Put(const site::RowKey& key, std::string value) {
  ++version_.value;
  rows_[key] = {value, version_};
  history_.push_back({key, std::move(value), version_});
}

std::size_t WatchedTable::RowsNaming(const std::string& text) const {
  const auto names = [&text](const auto& row) {
    return row.first.key.find(text) != std::string::npos;
  };
  return static_cast<std::size_t>(
      std::count_if(rows_.begin(), rows_.end(), names));
}

void WatchedTable::DropHistory() {
  history_.clear();
  history_start_ = version_;
}

std::optional<site::TableOutcome> WatchedTable::On(
    const site::Transaction& transaction) {
  const bool applies =
      std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                  [this](const auto& condition) { return Holds(condition); });
  if (!applies) {
    site::Conflict conflict;
    for (const site::Condition& condition : transaction.conditions) {
      const auto found = rows_.find(condition.key);
      if (found == rows_.end()) continue;
      conflict.current.push_back(
          {condition.key, found->second.value, found->second.version});
    }
    return conflict;
  }
  ++version_.value;
  for (const site::Row& row : transaction.writes) {
    rows_[row.key] = {row.value, version_};
    history_.push_back({row.key, row.value, version_});
  }
  for (const site::RowKey& key : transaction.deletes) {
    if (rows_.erase(key) > 0) history_.push_back({key, {}, version_, true});
  }
  return site::Committed{version_};
}

std::optional<site::TableOutcome> WatchedTable::On(
    const site::RowRange& range) const {
  site::RowPage page;
  page.version = version_;
  const std::size_t limit =
      range.limit == 0 ? kPageRows : std::min(range.limit, kPageRows);
  auto next = rows_.lower_bound({range.table, range.partition, range.from});
  for (; next != rows_.end(); ++next) {
    const auto& [key, stored] = *next;
    if (key.table != range.table || key.partition != range.partition) break;
    if (!range.to.empty() && key.key >= range.to) break;
    if (page.rows.size() == limit) {
      page.has_more = true;
      break;
    }
    page.rows.push_back({key, stored.value, stored.version});
  }
  return page;
}

std::optional<site::TableOutcome> WatchedTable::On(
    const site::Watch& watch) const {
  if (watch.after < history_start_) return site::HistoryGone{};
  site::RowPage page;
  page.version = version_;
  for (const site::Row& row : history_) {
    const bool reported =
        row.key.table == watch.table && row.version > watch.after;
    if (!reported) continue;
    // The changes of one version are never divided.
    const bool full = page.rows.size() >= kPageRows &&
                      row.version != page.rows.back().version;
    if (full) {
      page.has_more = true;
      page.version = page.rows.back().version;
      break;
    }
    page.rows.push_back(row);
  }
  if (page.rows.empty()) return std::nullopt;
  return page;
}

bool WatchedTable::Holds(const site::Condition& condition) const {
  const auto found = rows_.find(condition.key);
  const site::RowVersion current =
      found == rows_.end() ? site::RowVersion{} : found->second.version;
  return current == condition.version;
}

}  // namespace jasminespar::standins
