#include "jasminespar/standins/table.h"

#include <algorithm>

namespace jasminespar::standins {

std::uint64_t Table::VersionOf(const std::string& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? 0 : row->second.version;
}

TransactionResult Table::Transact(const Transaction& transaction) {
  TransactionResult result;
  for (const RowVersion& condition : transaction.conditions) {
    const std::uint64_t present = VersionOf(condition.key);
    if (present != condition.version) {
      result.failed.push_back({condition.key, present});
    }
  }
  if (!result.failed.empty()) return result;
  result.committed = true;
  for (const RowWrite& write : transaction.writes) {
    if (!write.value) {
      deleted_versions_[write.key] =
          std::max(deleted_versions_[write.key], VersionOf(write.key));
      rows_.erase(write.key);
      result.versions.push_back({write.key, 0});
      continue;
    }
    std::uint64_t version = VersionOf(write.key);
    const auto deleted = deleted_versions_.find(write.key);
    if (deleted != deleted_versions_.end()) {
      version = std::max(version, deleted->second);
    }
    rows_[write.key] = {*write.value, version + 1};
    result.versions.push_back({write.key, version + 1});
  }
  return result;
}

std::vector<Row> Table::Read(const std::vector<std::string>& keys) const {
  std::vector<Row> rows;
  for (const std::string& key : keys) {
    const auto row = rows_.find(key);
    if (row == rows_.end()) continue;
    rows.push_back({key, row->second.value, row->second.version});
  }
  return rows;
}

std::vector<Row> Table::Scan(std::string_view prefix, std::string_view after,
                             std::size_t limit) const {
  std::vector<Row> rows;
  auto row =
      after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  for (; row != rows_.end() && rows.size() < limit; ++row) {
    if (!row->first.starts_with(prefix)) break;
    rows.push_back({row->first, row->second.value, row->second.version});
  }
  return rows;
}

}  // namespace jasminespar::standins
