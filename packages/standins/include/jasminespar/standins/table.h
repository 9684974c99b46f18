/// @file
/// Rows of the stand-in table service, apart from HTTP and budgets.

#ifndef JASMINESPAR_STANDINS_TABLE_H_
#define JASMINESPAR_STANDINS_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespar::standins {

/// Version 0 means that the row does not exist.
struct RowVersion {
  std::string key;
  std::uint64_t version = 0;
  auto operator<=>(const RowVersion&) const = default;
};

/// A write of one row; no value deletes the row.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;
};

struct Row {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

struct Transaction {
  std::string id;
  std::vector<RowVersion> conditions;
  std::vector<RowWrite> writes;
};

struct TransactionResult {
  bool committed = false;
  std::vector<RowVersion> versions;  ///< New version of each written row.
  std::vector<RowVersion> failed;    ///< Present version, by condition.
};

/// Not thread-safe.
class Table {
 public:
  /// Writes all rows when every condition holds, else none.
  TransactionResult Transact(const Transaction& transaction);

  /// @return the existing rows among `keys`.
  [[nodiscard]] std::vector<Row> Read(
      const std::vector<std::string>& keys) const;

  /// @return up to `limit` rows with the prefix, strictly after `after`.
  [[nodiscard]] std::vector<Row> Scan(std::string_view prefix,
                                      std::string_view after,
                                      std::size_t limit) const;

 private:
  struct Stored {
    std::string value;
    std::uint64_t version = 0;
  };

  [[nodiscard]] std::uint64_t VersionOf(const std::string& key) const;

  std::map<std::string, Stored, std::less<>> rows_;
  // A row that is written again after its deletion must not repeat a version
  // that an earlier reader may hold.
  std::map<std::string, std::uint64_t, std::less<>> deleted_versions_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_TABLE_H_
