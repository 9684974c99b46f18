#include "jasminespar/standins/platform_service.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/responses.h"

namespace jasminespar::standins {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr Duration kHangCloseDelay = 60s;
constexpr std::size_t kMaxConnections = 1024;
constexpr std::size_t kMaxObjectBytes = 64U << 20;
constexpr std::string_view kObjectsPath = "/objects/";

std::string ToText(const json& value) {
  if (!value.is_binary()) return value.get<std::string>();
  const json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

json ToBinary(const std::string& bytes) {
  return json::binary(
      json::binary_t::container_type(bytes.begin(), bytes.end()));
}

http::Response CborResponse(const json& body) {
  http::Response response;
  response.headers.push_back({"Content-Type", "application/cbor"});
  const std::vector<std::uint8_t> bytes = json::to_cbor(body);
  response.body.assign(bytes.begin(), bytes.end());
  return response;
}

Transaction ParseTransaction(const json& body) {
  Transaction transaction;
  transaction.id = body.value("id", "");
  for (const json& condition : body.value("conditions", json::array())) {
    transaction.conditions.push_back(
        {condition.at("key"), condition.at("version")});
  }
  for (const json& write : body.value("writes", json::array())) {
    RowWrite row;
    row.key = write.at("key");
    if (!write.value("delete", false)) row.value = ToText(write.at("value"));
    transaction.writes.push_back(std::move(row));
  }
  return transaction;
}

http::Response RowsResponse(const std::vector<Row>& rows) {
  json list = json::array();
  for (const Row& row : rows) {
    list.push_back({{"key", row.key},
                    {"value", ToBinary(row.value)},
                    {"version", row.version}});
  }
  return CborResponse({{"rows", std::move(list)}});
}

http::Response OverBudgetResponse() {
  return ReasonResponse(429, "over_budget");
}

std::string PrefixOf(const std::string& key) {
  return key.substr(0, key.find('/'));
}

}  // namespace

PlatformService::PlatformService(asio::io_context& context,
                                 const PlatformSettings& settings)
    : context_(context),
      writes_(settings.writes_per_second),
      reads_(settings.reads_per_second),
      server_(
          context, settings.host, settings.port,
          http::ServerLimits{.max_connections = kMaxConnections,
                             .max_body_bytes = kMaxObjectBytes},
          [this](http::Request request,
                 std::shared_ptr<http::ConnectionState>) {
            return Handle(std::move(request));
          },
          RejectionResponse) {}

asio::awaitable<http::Response> PlatformService::Handle(http::Request request) {
  const std::string_view path = http::PathOf(request.target);
  if (path.starts_with("/admin/")) {
    co_return HandleAdmin(request, runtime::SteadyNow());
  }
  if (std::holds_alternative<StoreDown>(fault_)) {
    ++counters_.refused;
    co_return ReasonResponse(503, "store_unavailable");
  }
  if (std::holds_alternative<StoreHangs>(fault_)) {
    co_await Delay(kHangCloseDelay);
    throw std::runtime_error("fault: store hangs");
  }
  if (const auto* slow = std::get_if<StoreSlow>(&fault_)) {
    const Duration delay = slow->delay;
    co_await Delay(delay);
  }
  http::Response response = HandleWithoutFault(request, runtime::SteadyNow());
  const auto* loses = std::get_if<StoreLosesAnswers>(&fault_);
  if (loses != nullptr &&
      std::bernoulli_distribution(loses->probability)(random_)) {
    ++counters_.lost_answers;
    throw std::runtime_error("fault: answer is lost");
  }
  co_return response;
}

asio::awaitable<void> PlatformService::Delay(Duration delay) {
  asio::steady_timer timer(context_, delay);
  co_await timer.async_wait(asio::use_awaitable);
}

http::Response PlatformService::HandleWithoutFault(const http::Request& request,
                                                   TimePoint now) {
  const std::string_view path = http::PathOf(request.target);
  try {
    if (path == "/table/transact") return Transact(request, now);
    if (path == "/table/read") return Read(request, now);
    if (path == "/table/scan") return Scan(request, now);
    if (path == "/instances") return ListInstances(now);
    if (path.starts_with(kObjectsPath)) return AccessObject(request, now);
  } catch (const json::exception& error) {
    return JsonResponse(
        400, {{"reason", "malformed_request"}, {"detail", error.what()}});
  }
  return ReasonResponse(404, "not_found");
}

bool PlatformService::ChargeRead(TimePoint now) {
  if (!reads_.TryTake(1, now)) {
    ++counters_.refused;
    return false;
  }
  ++counters_.reads;
  return true;
}

bool PlatformService::ChargeWrites(double rows, TimePoint now) {
  if (!writes_.TryTake(rows, now)) {
    ++counters_.refused;
    return false;
  }
  return true;
}

http::Response PlatformService::Transact(const http::Request& request,
                                         TimePoint now) {
  const Transaction transaction =
      ParseTransaction(json::from_cbor(request.body));
  if (!ChargeWrites(static_cast<double>(transaction.writes.size()), now)) {
    return OverBudgetResponse();
  }
  const TransactionResult result = table_.Transact(transaction);
  json versions = json::object();
  for (const RowVersion& row : result.versions) {
    versions[row.key] = row.version;
    ++counters_.writes;
    ++counters_.writes_by_prefix[PrefixOf(row.key)];
  }
  json failed = json::array();
  for (const RowVersion& row : result.failed) {
    failed.push_back({{"key", row.key}, {"version", row.version}});
  }
  if (!result.committed) ++counters_.conflicts;
  return CborResponse({{"committed", result.committed},
                       {"versions", std::move(versions)},
                       {"failed", std::move(failed)}});
}

http::Response PlatformService::Read(const http::Request& request,
                                     TimePoint now) {
  if (!ChargeRead(now)) return OverBudgetResponse();
  const json body = json::from_cbor(request.body);
  return RowsResponse(
      table_.Read(body.at("keys").get<std::vector<std::string>>()));
}

http::Response PlatformService::Scan(const http::Request& request,
                                     TimePoint now) {
  if (!ChargeRead(now)) return OverBudgetResponse();
  const json body = json::from_cbor(request.body);
  return RowsResponse(table_.Scan(body.value("prefix", ""),
                                  body.value("after", ""),
                                  body.value("limit", std::size_t{1000})));
}

http::Response PlatformService::AccessObject(const http::Request& request,
                                             TimePoint now) {
  const std::string key(
      http::PathOf(request.target).substr(kObjectsPath.size()));
  http::Response response;
  if (request.method == "PUT") {
    if (!ChargeWrites(1, now)) return OverBudgetResponse();
    ++counters_.writes;
    ++counters_.writes_by_prefix["objects"];
    objects_[key] = request.body;
    return response;
  }
  if (request.method == "DELETE") {
    if (!ChargeWrites(1, now)) return OverBudgetResponse();
    objects_.erase(key);
    return response;
  }
  if (!ChargeRead(now)) return OverBudgetResponse();
  const auto object = objects_.find(key);
  if (object == objects_.end()) return ReasonResponse(404, "not_found");
  response.body = object->second;
  return response;
}

http::Response PlatformService::ListInstances(TimePoint now) {
  while (list_.size() > 1 && list_[1].since + list_lag_ <= now) {
    list_.pop_front();
  }
  if (list_.empty()) {
    return JsonResponse(
        200, {{"entries", json::array()}, {"workers", json::array()}});
  }
  return JsonResponse(200, list_.front().machines);
}

http::Response PlatformService::HandleAdmin(const http::Request& request,
                                            TimePoint now) {
  const std::string_view path = http::PathOf(request.target);
  if (path == "/admin/stats") return Statistics();
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return ReasonResponse(400, "malformed_request");
  if (path == "/admin/machines") {
    list_.push_back({now, body});
    return JsonResponse(200, json::object());
  }
  if (path == "/admin/list-lag") {
    list_lag_ = std::chrono::milliseconds(body.value("ms", 0));
    return JsonResponse(200, json::object());
  }
  if (path == "/admin/faults") {
    const auto mode =
        ParseName(kStoreFaultModeNames, body.value("mode", std::string("ok")));
    if (!mode) return ReasonResponse(400, "malformed_request");
    fault_ = MakeStoreFault(
        *mode, std::chrono::milliseconds(body.value("delay_ms", 0)),
        body.value("probability", 1.0));
    random_.seed(body.value("seed", std::uint64_t{1}));
    return JsonResponse(200, json::object());
  }
  return ReasonResponse(404, "not_found");
}

http::Response PlatformService::Statistics() const {
  return JsonResponse(200, {{"writes", counters_.writes},
                            {"reads", counters_.reads},
                            {"refused", counters_.refused},
                            {"conflicts", counters_.conflicts},
                            {"lost_answers", counters_.lost_answers},
                            {"writes_by_prefix", counters_.writes_by_prefix}});
}

}  // namespace jasminespar::standins
