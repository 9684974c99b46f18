/// @file
/// Rows of the stand-in table service, without HTTP and budgets.

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

/// A row and its version; version 0 means that the row does not exist.
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

/// Writes, applied only if every row in `conditions` has the given version.
struct Transaction {
  std::string id;
  std::vector<RowVersion> conditions;
  std::vector<RowWrite> writes;
};

struct TransactionResult {
  bool committed = false;
  std::vector<RowVersion> versions;  ///< New versions; 0 for a deleted row.
  /// Current versions of the rows whose condition failed.
  std::vector<RowVersion> failed;
};

/// Versioned rows with conditional transactions. Not thread-safe.
class Table {
 public:
  /// Writes all rows if every condition holds, otherwise none.
  TransactionResult Transact(const Transaction& transaction);

  /// @return the existing rows among `keys`.
  [[nodiscard]] std::vector<Row> Read(
      const std::vector<std::string>& keys) const;

  /// @return up to `limit` rows with the prefix and a key above `after`, in
  ///     order of their keys.
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
  // A row that is created again after its deletion must not reuse a version
  // that an earlier reader may still hold.
  std::map<std::string, std::uint64_t, std::less<>> deleted_versions_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_TABLE_H_
