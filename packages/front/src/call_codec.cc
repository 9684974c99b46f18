#include "jasminespar/front/call_codec.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "jasminespar/codec/call_json.h"
#include "jasminespar/codec/problem_json.h"
#include "jasminespar/core/overloaded.h"

namespace jasminespar::front {
namespace {

constexpr int kAccepted = 202;

Refusal MakeMalformedRefusal(std::string detail) {
  Refusal refusal;
  refusal.reason = Reason::kMalformedRequest;
  refusal.detail = std::move(detail);
  return refusal;
}

Refusal MakeRefusal(Reason reason, std::string detail) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.detail = std::move(detail);
  return refusal;
}

/// Parses header values and keeps the first error.
class HeaderReader {
 public:
  explicit HeaderReader(const std::vector<http::Header>& headers)
      : headers_(headers) {}

  [[nodiscard]] std::string_view Text(std::string_view name) const {
    return http::HeaderOf(headers_, name);
  }

  [[nodiscard]] std::int64_t Number(std::string_view name, std::int64_t min,
                                    std::int64_t max,
                                    std::int64_t default_value) {
    const std::string_view text = Text(name);
    if (text.empty()) return default_value;
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec == std::errc() && result.ptr == end && value >= min &&
        value <= max) {
      return value;
    }
    Fail(std::string(name) + ": a number from " + std::to_string(min) + " to " +
         std::to_string(max));
    return default_value;
  }

  template <typename Table, typename Enum>
  [[nodiscard]] Enum Name(std::string_view name, const Table& table,
                          Enum default_value) {
    const std::string_view text = Text(name);
    if (text.empty()) return default_value;
    if (const auto value = ParseName(table, text)) return *value;
    std::string allowed;
    for (const auto& row : table) allowed += " " + std::string(row.name);
    Fail(std::string(name) + ": one of" + allowed);
    return default_value;
  }

  void Fail(std::string detail) {
    if (!error_) error_ = MakeMalformedRefusal(std::move(detail));
  }

  [[nodiscard]] const std::optional<Refusal>& error() const { return error_; }

 private:
  const std::vector<http::Header>& headers_;
  std::optional<Refusal> error_;
};

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<Refusal> CheckKey(std::string_view key) {
  if (key.empty()) return MakeRefusal(Reason::kMissingIdempotencyKey, "");
  if (key.size() <= kMaxKeyLength && IsVisibleAscii(key)) return std::nullopt;
  return MakeMalformedRefusal("Idempotency-Key: 1 to " +
                              std::to_string(kMaxKeyLength) +
                              " visible characters");
}

bool PrefersAsync(std::string_view prefer) {
  return prefer.find("respond-async") != std::string_view::npos;
}

std::string RetryAfterSeconds(Duration delay) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

http::Response MakeJsonResponse(int status, std::string json,
                                std::string_view type) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", std::string(type)});
  response.body = std::move(json);
  return response;
}

http::Response ToAcceptedResponse(const CallId& id, std::string json) {
  http::Response response =
      MakeJsonResponse(kAccepted, std::move(json), "application/json");
  response.headers.push_back({"Location", "/v1/calls/" + ToString(id)});
  return response;
}

}  // namespace

std::variant<CallRequest, Refusal> ParseCallRequest(
    http::Request request, const ServiceId& service,
    const configuration::Configuration& configuration) {
  HeaderReader reader(request.headers);
  const auto found = configuration.services.find(service);
  if (found == configuration.services.end()) {
    return MakeRefusal(Reason::kUnknownService, service.value);
  }
  CallRequest call;
  call.key.service = service;
  call.key.account.value = std::string(reader.Text("Jasminespar-Account"));
  if (!configuration.accounts.contains(call.key.account)) {
    return MakeRefusal(Reason::kUnknownClientAccount, call.key.account.value);
  }
  call.key.idempotency_key = std::string(reader.Text("Idempotency-Key"));
  if (auto refusal = CheckKey(call.key.idempotency_key)) return *refusal;
  if (request.body.size() > found->second.max_body_bytes) {
    return MakeRefusal(Reason::kBodyTooLarge,
                       std::to_string(found->second.max_body_bytes) + " bytes");
  }
  const std::string_view idempotent = reader.Text("Jasminespar-Idempotent");
  if (idempotent == "false") {
    call.idempotence = Idempotence::kNonIdempotent;
  } else if (!idempotent.empty() && idempotent != "true") {
    reader.Fail("Jasminespar-Idempotent: true or false");
  }
  if (PrefersAsync(reader.Text("Prefer"))) call.delivery = Delivery::kCollect;
  call.priority =
      reader.Name("Jasminespar-Priority", kPriorityNames, Priority::kNormal);
  call.gang.accelerators = static_cast<int>(
      reader.Number("Jasminespar-Accelerators", 1, kMaxGangAccelerators, 1));
  call.gang.adjacency =
      reader.Name("Jasminespar-Adjacency", kAdjacencyNames, Adjacency::kAny);
  const std::int64_t max_time = ToMilliseconds(kMaxDeadline);
  call.time_left = std::chrono::milliseconds(
      reader.Number("Jasminespar-Deadline-Ms", 1, max_time,
                    ToMilliseconds(found->second.default_deadline)));
  call.declared_run_time = std::chrono::milliseconds(
      reader.Number("Jasminespar-Run-Time-Ms", 0, max_time, 0));
  if (reader.error()) return *reader.error();
  call.id = IdOf(call.key);
  call.body = std::move(request.body);
  return call;
}

http::Response ToResponse(const CallId& id, cell::CallReply reply) {
  return std::visit(
      Overloaded{
          [&](Answer& answer) {
            http::Response response;
            response.status = answer.http_status;
            response.headers.push_back({"Jasminespar-Call", ToString(id)});
            response.headers.push_back(
                {"Content-Type", "application/octet-stream"});
            response.body = std::move(answer.body);
            return response;
          },
          [&](Refusal& refusal) {
            http::Response response = ToProblem(refusal);
            response.headers.push_back({"Jasminespar-Call", ToString(id)});
            return response;
          },
          [&](const cell::CallStatus& status) {
            return ToAcceptedResponse(id, codec::EncodeCallStatus(status));
          },
          [&](const cell::CallAcceptedReply& accepted) {
            return ToAcceptedResponse(id,
                                      codec::EncodeCallAccepted(accepted.id));
          },
      },
      reply);
}

http::Response ToProblem(const Refusal& refusal) {
  codec::Problem problem;
  problem.refusal = refusal;
  http::Response response =
      MakeJsonResponse(HttpStatusOf(refusal.reason),
                       codec::EncodeProblem(problem), codec::kProblemMediaType);
  if (refusal.retry_after > Duration::zero()) {
    response.headers.push_back(
        {"Retry-After", RetryAfterSeconds(refusal.retry_after)});
  }
  return response;
}

}  // namespace jasminespar::front
