/// @file
/// Client of the platform's table service, object store and instance list.

#ifndef JASMINESPAR_PLATFORM_TABLE_CLIENT_H_
#define JASMINESPAR_PLATFORM_TABLE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/time.h"
#include "jasminespar/http/client.h"

namespace jasminespar::platform {

/// Version of a row that does not exist.
inline constexpr std::uint64_t kAbsentVersion = 0;

struct Row {
  std::string key;
  std::string value;
  std::uint64_t version = kAbsentVersion;
};

/// The row must have this version for a transaction to commit.
struct Condition {
  std::string key;
  std::uint64_t version = kAbsentVersion;
};

struct RowWrite {
  std::string key;
  std::string value;
};

struct Transaction {
  std::string id;  ///< Only for the platform's own records.
  std::vector<Condition> conditions;
  std::vector<RowWrite> writes;
};

/// The new versions of the written rows, in the order of the writes.
struct Committed {
  std::vector<std::uint64_t> versions;
};

/// Nothing was written.
struct ConditionFailed {
  /// The rows whose conditions did not hold, with their current versions.
  std::vector<Condition> found;
};

using TransactionResult = std::variant<Committed, ConditionFailed>;

/// An instance of the system in the platform's instance list.
struct InstanceEntry {
  InstanceId id;
  DataCentreId data_centre;
  configuration::Address caller;
  configuration::Address peer;
  configuration::MachineState state = configuration::MachineState::kLive;
};

struct InstanceList {
  std::vector<InstanceEntry> entries;
  std::vector<configuration::Worker> workers;
};

/// All requests throw Error kStoreUnavailable: with kNotRun when they had no
/// effect, with kMayHaveRun when the response was lost or cannot be decoded.
class TableClient {
 public:
  TableClient(boost::asio::io_context& context,
              const configuration::Address& address, Duration timeout);

  [[nodiscard]] boost::asio::awaitable<TransactionResult> Transact(
      Transaction transaction);

  /// @return the rows that exist.
  [[nodiscard]] boost::asio::awaitable<std::vector<Row>> Read(
      std::vector<std::string> keys);

  /// @return all rows whose key starts with the prefix, ordered by key.
  [[nodiscard]] boost::asio::awaitable<std::vector<Row>> Scan(
      std::string prefix);

  [[nodiscard]] boost::asio::awaitable<void> PutObject(std::string key,
                                                       std::string bytes);

  /// @return nullopt when there is no such object.
  [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> GetObject(
      std::string key);

  [[nodiscard]] boost::asio::awaitable<void> DeleteObject(std::string key);

  [[nodiscard]] boost::asio::awaitable<InstanceList> ListInstances();

 private:
  boost::asio::awaitable<http::Response> Send(std::string method,
                                              std::string target,
                                              std::string body);

  http::Client client_;
  Duration timeout_;
};

}  // namespace jasminespar::platform

#endif  // JASMINESPAR_PLATFORM_TABLE_CLIENT_H_
