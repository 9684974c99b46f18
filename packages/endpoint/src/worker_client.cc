#include "jasminespar/endpoint/worker_client.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "jasminespar/core/error.h"

namespace jasminespar::endpoint {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr std::size_t kReportConnections = 2;
constexpr int kOk = 200;

std::string ToHex(std::uint64_t value, std::size_t digits) {
  char text[17];
  std::snprintf(text, sizeof text, "%0*llx", static_cast<int>(digits),
                static_cast<unsigned long long>(value));
  return text;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, base);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

std::string ToText(const Epoch& epoch) {
  return std::to_string(epoch.durable) + "." +
         std::to_string(epoch.provisional);
}

Epoch ParseEpoch(std::string_view text) {
  const std::size_t dot = text.find('.');
  const auto durable = ParseNumber(text.substr(0, dot), 10);
  const auto provisional = dot == std::string_view::npos
                               ? std::nullopt
                               : ParseNumber(text.substr(dot + 1), 10);
  if (!durable || !provisional) {
    throw Error(Reason::kMalformedRequest, Verdict::kNotRun, "epoch");
  }
  return {*durable, static_cast<std::uint32_t>(*provisional)};
}

std::uint64_t ParseHex(const Json& json) {
  const auto value = ParseNumber(json.get<std::string>(), 16);
  if (!value) throw Error(Reason::kMalformedRequest, Verdict::kNotRun, "hex");
  return *value;
}

std::string TaskTarget(const cell::TaskRef& task) {
  return "/v1/tasks/" + ToString(task.call) + "/" +
         std::to_string(task.attempt.value);
}

http::Request MakeRequest(const CellRef& cell, std::string method,
                          std::string target) {
  http::Request request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers.push_back({"Jasminespar-Cell", cell.cell.value});
  request.headers.push_back({"Jasminespar-Epoch", ToText(cell.epoch)});
  return request;
}

http::Request ToRequest(cell::TaskOrder order) {
  const CellRef cell{order.cell, order.epoch};
  http::Request request = MakeRequest(cell, "PUT", TaskTarget(order.task));
  auto add = [&request](const char* name, std::string value) {
    request.headers.push_back({name, std::move(value)});
  };
  add("Jasminespar-Service", order.service.value);
  add("Jasminespar-Account", order.account.value);
  add("Jasminespar-Rank", std::to_string(order.rank));
  add("Jasminespar-Gang-Workers", std::to_string(order.gang_workers));
  add("Jasminespar-Accelerators", ToHex(order.accelerators, 1));
  add("Jasminespar-Hold-Ms", std::to_string(ToMilliseconds(order.hold)));
  add("Jasminespar-Start", order.start_now ? "now" : "held");
  add("Jasminespar-Digest", ToHex(DigestOf(order.body).value, 16));
  request.body = std::move(order.body);
  return request;
}

/// A refused request had no effect if its reason is known here; with an unknown
/// reason it may have had one.
TaskReply ToTaskReply(const http::Response& response) {
  const Json json = Json::parse(response.body, nullptr, false);
  if (json.is_object() && response.status == kOk && json.contains("state") &&
      json["state"].is_string()) {
    const auto state = ParseName(cell::kTaskStateNames,
                                 json["state"].get_ref<const std::string&>());
    if (state) return *state;
  }
  if (json.is_object() && json.contains("reason") &&
      json["reason"].is_string()) {
    const auto reason =
        ParseName(kReasons, json["reason"].get_ref<const std::string&>());
    if (reason) return OrderFailed{*reason, Verdict::kNotRun};
  }
  return OrderFailed{Reason::kWorkerUnreachable, Verdict::kMayHaveRun};
}

cell::ReportedTask ToReportedTask(const Json& json, WorkerId worker) {
  cell::ReportedTask task;
  const auto call = ParseCallId(json.at("call").get<std::string>());
  const auto state =
      ParseName(cell::kTaskStateNames, json.at("state").get<std::string>());
  if (!call || !state) {
    throw Error(Reason::kMalformedRequest, Verdict::kNotRun, "report");
  }
  task.task = {*call, Attempt{json.at("attempt")}, worker};
  task.cell.value = json.at("cell");
  task.epoch = ParseEpoch(json.at("epoch").get<std::string>());
  task.rank = json.at("rank");
  task.gang_workers = json.at("gang_workers");
  task.accelerators = ParseHex(json.at("accelerators"));
  task.state = *state;
  if (json.contains("digest")) {
    task.answer_digest.value = ParseHex(json.at("digest"));
    task.answer_bytes = json.at("bytes");
  }
  return task;
}

/// @return the epoch in the body of a refusal; 0.0 when there is none.
Epoch HigherEpochOf(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("epoch")) return {};
  return json["epoch"].is_string()
             ? ParseEpoch(json["epoch"].get_ref<const std::string&>())
             : Epoch{};
}

Report ToReport(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    Report report;
    report.worker.value = json.at("worker");
    report.change = json.at("change");
    report.incarnation = json.at("restarted");
    report.leaving = json.at("leaving");
    for (const Json& task : json.at("tasks")) {
      report.tasks.push_back(ToReportedTask(task, report.worker));
    }
    return report;
  } catch (const Json::exception& error) {
    throw Error(Reason::kWorkerUnreachable, Verdict::kMayHaveRun, error.what());
  }
}

}  // namespace

WorkerClient::WorkerClient(asio::io_context& context,
                           const configuration::Address& address,
                           std::size_t max_connections, Duration timeout)
    : orders_(context, address.host, address.port, max_connections),
      reports_(context, address.host, address.port, kReportConnections),
      timeout_(timeout) {}

asio::awaitable<TaskReply> WorkerClient::SendTaskRequest(
    http::Request request) {
  OrderFailed failure;
  try {
    const http::Response response =
        co_await orders_.Send(std::move(request), timeout_);
    co_return ToTaskReply(response);
  } catch (const Error& error) {
    failure = {error.reason(), error.verdict()};
  }
  co_return failure;
}

asio::awaitable<TaskReply> WorkerClient::SendOrder(cell::TaskOrder order) {
  http::Request request = ToRequest(std::move(order));
  co_return co_await SendTaskRequest(std::move(request));
}

asio::awaitable<TaskReply> WorkerClient::Release(CellRef cell,
                                                 cell::TaskRef task) {
  http::Request request =
      MakeRequest(cell, "POST", TaskTarget(task) + "/release");
  co_return co_await SendTaskRequest(std::move(request));
}

asio::awaitable<TaskReply> WorkerClient::Stop(CellRef cell, cell::TaskRef task,
                                              cell::StopMode mode) {
  const std::string_view name = RowOf(cell::kStopModeNames, mode).name;
  http::Request request = MakeRequest(
      cell, "POST", TaskTarget(task) + "/stop?mode=" + std::string(name));
  co_return co_await SendTaskRequest(std::move(request));
}

asio::awaitable<void> WorkerClient::DeleteResult(CellRef cell,
                                                 cell::TaskRef task) {
  http::Request request = MakeRequest(cell, "DELETE", TaskTarget(task));
  try {
    co_await orders_.Send(std::move(request), timeout_);
  } catch (const Error&) {
    // The worker drops the result when its retention ends.
  }
}

asio::awaitable<Answer> WorkerClient::FetchAnswer(CellRef cell,
                                                  cell::ReportedTask task) {
  http::Request request =
      MakeRequest(cell, "GET", TaskTarget(task.task) + "/answer");
  http::Response response = co_await orders_.Send(std::move(request), timeout_);
  if (response.status != kOk) {
    throw Error(Reason::kWorkerUnreachable, Verdict::kMayHaveRun,
                "answer status " + std::to_string(response.status));
  }
  if (response.body.size() != task.answer_bytes ||
      DigestOf(response.body) != task.answer_digest) {
    throw Error(Reason::kAnswerDamaged, Verdict::kRan,
                ToString(task.task.call));
  }
  const auto status =
      ParseNumber(http::HeaderOf(response.headers, "Jasminespar-Status"), 10);
  Answer answer;
  answer.http_status = static_cast<int>(status.value_or(kOk));
  answer.body = std::move(response.body);
  co_return answer;
}

asio::awaitable<Report> WorkerClient::FetchReport(CellRef cell,
                                                  std::uint64_t after,
                                                  Duration wait) {
  http::Request request =
      MakeRequest(cell, "GET",
                  "/v1/report?after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(ToMilliseconds(wait)));
  const http::Response response =
      co_await reports_.Send(std::move(request), timeout_ + wait);
  if (response.status != kOk) {
    const TaskReply reply = ToTaskReply(response);
    const auto* refused = std::get_if<OrderFailed>(&reply);
    const Reason reason =
        refused != nullptr ? refused->reason : Reason::kWorkerUnreachable;
    if (reason == Reason::kStaleEpoch) {
      throw StaleEpochError(HigherEpochOf(response.body));
    }
    throw Error(reason, Verdict::kNotRun,
                "report status " + std::to_string(response.status));
  }
  co_return ToReport(response.body);
}

}  // namespace jasminespar::endpoint
