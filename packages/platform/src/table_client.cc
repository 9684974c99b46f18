#include "jasminespar/platform/table_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "jasminespar/core/error.h"

namespace jasminespar::platform {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kScanPageRows = 256;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Json ToBinary(const std::string& bytes) {
  return Json::binary({bytes.begin(), bytes.end()});
}

std::string FromBinary(const Json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

/// Calls a function that decodes a reply of the platform. A reply that cannot
/// be decoded counts as an outage.
/// @throws Error kStoreUnavailable/kMayHaveRun.
template <typename Decoder>
auto DecodeReply(Decoder decode) {
  try {
    return decode();
  } catch (const Json::exception& error) {
    throw Error(Reason::kStoreUnavailable, Verdict::kMayHaveRun, error.what());
  }
}

std::vector<Row> ToRows(const std::string& body) {
  return DecodeReply([&] {
    std::vector<Row> rows;
    const Json json = Json::from_cbor(body);
    for (const Json& row : json.at("rows")) {
      rows.push_back(
          {row.at("key"), FromBinary(row.at("value")), row.at("version")});
    }
    return rows;
  });
}

configuration::MachineState ToMachineState(const Json& json) {
  const std::string name = json.get<std::string>();
  const auto state = ParseName(configuration::kMachineStateNames, name);
  // A machine in a state that is not known here gets no new work.
  return state.value_or(configuration::MachineState::kLeaving);
}

InstanceEntry ToEntry(const Json& json) {
  InstanceEntry entry;
  entry.id.value = json.at("id");
  entry.data_centre.value = json.at("data_centre");
  entry.caller = {json.at("host"), json.at("caller_port")};
  entry.peer = {json.at("host"), json.at("peer_port")};
  entry.state = ToMachineState(json.at("state"));
  return entry;
}

configuration::Worker ToWorker(const Json& json) {
  configuration::Worker worker;
  worker.id.value = json.at("id");
  worker.data_centre.value = json.at("data_centre");
  worker.rack = json.at("rack");
  worker.accelerators = json.at("accelerators");
  worker.address = {json.at("host"), json.at("port")};
  worker.state = ToMachineState(json.at("state"));
  return worker;
}

Json ToJson(const Transaction& transaction) {
  Json json{{"id", transaction.id},
            {"conditions", Json::array()},
            {"writes", Json::array()}};
  for (const Condition& condition : transaction.conditions) {
    json["conditions"].push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  for (const RowWrite& write : transaction.writes) {
    json["writes"].push_back(
        {{"key", write.key}, {"value", ToBinary(write.value)}});
  }
  return json;
}

TransactionResult ToResult(const std::string& body,
                           const std::vector<std::string>& written) {
  return DecodeReply([&]() -> TransactionResult {
    const Json json = Json::from_cbor(body);
    if (json.at("committed").get<bool>()) {
      Committed committed;
      for (const std::string& key : written) {
        committed.versions.push_back(json.at("versions").at(key));
      }
      return committed;
    }
    ConditionFailed failed;
    for (const Json& found : json.at("failed")) {
      failed.found.push_back({found.at("key"), found.at("version")});
    }
    return failed;
  });
}

}  // namespace

TableClient::TableClient(asio::io_context& context,
                         const configuration::Address& address,
                         Duration timeout)
    : client_(context, address.host, address.port, kMaxConnections),
      timeout_(timeout) {}

asio::awaitable<http::Response> TableClient::Send(std::string method,
                                                  std::string target,
                                                  std::string body) {
  http::Request request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = std::move(body);
  http::Response response;
  try {
    response = co_await client_.Send(std::move(request), timeout_);
  } catch (const Error& error) {
    throw Error(Reason::kStoreUnavailable, error.verdict(), error.what());
  }
  if (response.status != kOk && response.status != kNotFound) {
    throw Error(Reason::kStoreUnavailable, Verdict::kNotRun,
                "status " + std::to_string(response.status));
  }
  co_return response;
}

asio::awaitable<TransactionResult> TableClient::Transact(
    Transaction transaction) {
  std::vector<std::string> written;
  for (const RowWrite& write : transaction.writes) {
    written.push_back(write.key);
  }
  std::string body = ToCbor(ToJson(transaction));
  const http::Response response =
      co_await Send("POST", "/table/transact", std::move(body));
  co_return ToResult(response.body, written);
}

asio::awaitable<std::vector<Row>> TableClient::Read(
    std::vector<std::string> keys) {
  std::string body = ToCbor(Json{{"keys", keys}});
  const http::Response response =
      co_await Send("POST", "/table/read", std::move(body));
  co_return ToRows(response.body);
}

asio::awaitable<std::vector<Row>> TableClient::Scan(std::string prefix) {
  std::vector<Row> rows;
  std::string after;
  while (true) {
    std::string body = ToCbor(
        Json{{"prefix", prefix}, {"after", after}, {"limit", kScanPageRows}});
    const http::Response response =
        co_await Send("POST", "/table/scan", std::move(body));
    std::vector<Row> page = ToRows(response.body);
    const bool last = page.size() < kScanPageRows;
    for (Row& row : page) rows.push_back(std::move(row));
    if (last) break;
    after = rows.back().key;
  }
  co_return rows;
}

asio::awaitable<void> TableClient::PutObject(std::string key,
                                             std::string bytes) {
  co_await Send("PUT", "/objects/" + key, std::move(bytes));
}

asio::awaitable<std::optional<std::string>> TableClient::GetObject(
    std::string key) {
  http::Response response = co_await Send("GET", "/objects/" + key, "");
  if (response.status == kNotFound) co_return std::nullopt;
  co_return std::move(response.body);
}

asio::awaitable<void> TableClient::DeleteObject(std::string key) {
  co_await Send("DELETE", "/objects/" + key, "");
}

asio::awaitable<InstanceList> TableClient::ListInstances() {
  const http::Response response = co_await Send("GET", "/instances", "");
  co_return DecodeReply([&] {
    InstanceList list;
    const Json json = Json::parse(response.body);
    for (const Json& entry : json.at("entries")) {
      list.entries.push_back(ToEntry(entry));
    }
    for (const Json& worker : json.at("workers")) {
      list.workers.push_back(ToWorker(worker));
    }
    return list;
  });
}

}  // namespace jasminespar::platform
