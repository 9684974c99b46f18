#include "jasminespar/standins/endpoint_codec.h"

#include <charconv>
#include <string>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/standins/responses.h"
#include "jasminespar/standins/task_directive.h"

namespace jasminespar::standins {

using nlohmann::json;

namespace {

template <typename Number>
std::optional<Number> Parse(std::string_view text, int base = 10) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number, base);
  if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

int StatusOf(Reason reason) {
  switch (reason) {
    case Reason::kStaleEpoch:
    case Reason::kHoldExpired:
      return 409;
    case Reason::kAnswerDamaged:
      return 400;
    default:
      return HttpStatusOf(reason);
  }
}

std::string FormatEpoch(const Epoch& epoch) {
  return std::to_string(epoch.durable) + "." +
         std::to_string(epoch.provisional);
}

std::int64_t EpochMilliseconds(TimePoint time) {
  return ToMilliseconds(time.time_since_epoch());
}

}  // namespace

http::Response ReportRefusalResponse(Reason reason, const Epoch& highest) {
  return JsonResponse(StatusOf(reason),
                      {{"reason", std::string(NameOf(reason))},
                       {"epoch", FormatEpoch(highest)}});
}

std::optional<Sender> ParseSender(const http::Request& request) {
  const std::string_view cell =
      http::HeaderOf(request.headers, "Jasminespar-Cell");
  const std::string_view epoch =
      http::HeaderOf(request.headers, "Jasminespar-Epoch");
  const std::size_t dot = epoch.find('.');
  if (cell.empty() || dot == std::string_view::npos) return std::nullopt;
  const auto durable = Parse<std::uint64_t>(epoch.substr(0, dot));
  const auto provisional = Parse<std::uint32_t>(epoch.substr(dot + 1));
  if (!durable || !provisional) return std::nullopt;
  return Sender{CellId{std::string(cell)}, Epoch{*durable, *provisional}};
}

std::optional<TaskKey> ParseTaskKey(std::string_view path) {
  const auto segments = http::SegmentsOf(path);
  if (segments.size() < 4) return std::nullopt;
  const auto call = ParseCallId(segments[2]);
  const auto attempt = Parse<std::uint64_t>(segments[3]);
  if (!call || !attempt) return std::nullopt;
  return TaskKey{*call, Attempt{*attempt}};
}

std::variant<cell::TaskOrder, Reason> ParseOrder(const http::Request& request,
                                                 const TaskKey& key,
                                                 const Sender& sender,
                                                 WorkerId worker) {
  const auto header = [&request](std::string_view name) {
    return http::HeaderOf(request.headers, name);
  };
  const auto rank = Parse<std::uint32_t>(header("Jasminespar-Rank"));
  const auto workers = Parse<std::uint32_t>(header("Jasminespar-Gang-Workers"));
  const auto mask =
      Parse<std::uint64_t>(header("Jasminespar-Accelerators"), 16);
  const auto hold = Parse<std::uint64_t>(header("Jasminespar-Hold-Ms"));
  const std::string_view start = header("Jasminespar-Start");
  if (!rank || !workers || !mask || (start != "held" && start != "now")) {
    return Reason::kMalformedRequest;
  }
  if (header("Jasminespar-Digest") != FormatDigest(DigestOf(request.body))) {
    return Reason::kAnswerDamaged;
  }
  cell::TaskOrder order;
  order.task = {key.call, key.attempt, worker};
  order.cell = sender.cell;
  order.epoch = sender.epoch;
  order.service.value = header("Jasminespar-Service");
  order.account.value = header("Jasminespar-Account");
  order.rank = *rank;
  order.gang_workers = *workers;
  order.accelerators = *mask;
  order.hold = std::chrono::milliseconds(hold.value_or(0));
  order.start_now = start == "now";
  order.body = request.body;
  return order;
}

json ToJson(const cell::ReportedTask& task) {
  char mask[17];
  const auto end =
      std::to_chars(mask, mask + sizeof mask, task.accelerators, 16).ptr;
  return {{"call", ToString(task.task.call)},
          {"attempt", task.task.attempt.value},
          {"cell", task.cell.value},
          {"epoch", FormatEpoch(task.epoch)},
          {"rank", task.rank},
          {"gang_workers", task.gang_workers},
          {"accelerators", std::string(mask, end)},
          {"state", RowOf(cell::kTaskStateNames, task.state).name},
          {"digest", FormatDigest(task.answer_digest)},
          {"bytes", task.answer_bytes}};
}

json ToJson(const RunRecord& run) {
  json record = {{"attempt", run.task.attempt.value},
                 {"worker", run.task.worker.value},
                 {"cell", run.cell.value},
                 {"rank", run.rank},
                 {"gang_workers", run.gang_workers},
                 {"started_ms", EpochMilliseconds(run.started)},
                 {"state", RowOf(cell::kTaskStateNames, run.state).name}};
  if (run.ended) record["ended_ms"] = EpochMilliseconds(*run.ended);
  return record;
}

http::Response ToResponse(const EndpointModel::StateOrReason& result) {
  return std::visit(
      Overloaded{[](cell::TaskState state) {
                   return JsonResponse(
                       200,
                       {{"state", RowOf(cell::kTaskStateNames, state).name}});
                 },
                 [](Reason reason) {
                   return ReasonResponse(StatusOf(reason), NameOf(reason));
                 }},
      result);
}

}  // namespace jasminespar::standins
