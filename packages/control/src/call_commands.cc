#include "call_commands.h"

#include "jasminespar/codec/call_json.h"
#include "jasminespar/control/text_table.h"
#include "reply.h"

namespace jasminespar::control {

namespace {

constexpr int kAccepted = 202;
constexpr int kFirstErrorStatus = 400;

http::Request SubmitRequest(const MakeCall& call, std::string body) {
  http::Request request =
      MakeRequest("POST", "/v1/services/" + call.key.service.value + "/calls",
                  std::move(body));
  const bool idempotent = call.idempotence == Idempotence::kIdempotent;
  request.headers = {
      {"Jasminespar-Account", call.key.account.value},
      {"Idempotency-Key", call.key.idempotency_key},
      {"Jasminespar-Idempotent", idempotent ? "true" : "false"},
      {"Jasminespar-Accelerators", std::to_string(call.gang.accelerators)},
      {"Jasminespar-Adjacency",
       std::string(RowOf(kAdjacencyNames, call.gang.adjacency).name)},
      {"Jasminespar-Priority",
       std::string(RowOf(kPriorityNames, call.priority).name)},
  };
  if (call.deadline) {
    request.headers.push_back({"Jasminespar-Deadline-Ms",
                               std::to_string(ToMilliseconds(*call.deadline))});
  }
  if (call.delivery == Delivery::kCollect) {
    request.headers.push_back({"Prefer", "respond-async"});
  }
  return request;
}

http::Request CallRequest(const CallId& id, const ClientAccountId& account,
                          const std::string& method) {
  http::Request request = MakeRequest(method, "/v1/calls/" + ToString(id));
  request.headers = {{"Jasminespar-Account", account.value}};
  return request;
}

void PrintNotEnded(const std::string& body, OutputFormat output,
                   std::ostream& out) {
  const auto parsed = codec::ParseCallStatus(body);
  const auto* status = std::get_if<cell::CallStatus>(&parsed);
  if (output == OutputFormat::kJson || status == nullptr) {
    out << body << "\n";
    return;
  }
  out << FormatTable(
      {"id", "state", "attempt", "explanation"},
      {{ToString(status->id),
        std::string(RowOf(cell::kCallStateNames, status->state).name),
        std::to_string(status->attempt.value), status->explanation}});
}

/// Prints the answer of a call unchanged in every output format, because it is
/// the caller's data.
ExitCode PrintOutcome(const ExchangeResult& result, OutputFormat output,
                      Environment& environment) {
  if (const auto* failure = std::get_if<NoAnswer>(&result)) {
    return ReportNoAnswer(*failure, environment.err);
  }
  const auto& response = std::get<http::Response>(result);
  if (IsProblem(response)) return ReportProblem(response, environment.err);
  if (response.status == kAccepted) {
    PrintNotEnded(response.body, output, environment.out);
    return ExitCode::kNotEnded;
  }
  if (response.status < kFirstErrorStatus) {
    environment.out << response.body;
    return ExitCode::kDone;
  }
  // Without this header the error comes from an intermediary, and the outcome
  // of the call is unknown.
  if (http::HeaderOf(response.headers, "Jasminespar-Call").empty()) {
    return ReportProblem(response, environment.err);
  }
  environment.out << response.body;
  return ExitCode::kEndpointError;
}

}  // namespace

ExitCode RunCommand(const MakeCall& command, OutputFormat output,
                    Environment& environment) {
  std::optional<std::string> body = command.body;
  if (!body) body = environment.read_file("-");
  if (!body) {
    environment.err << "standard input: cannot be read\n";
    return ExitCode::kLocalFault;
  }
  const http::Request request = SubmitRequest(command, std::move(*body));
  environment.err << "call " << ToString(IdOf(command.key)) << "\n";
  return PrintOutcome(environment.exchange(request), output, environment);
}

ExitCode RunCommand(const ShowStatus& command, OutputFormat output,
                    Environment& environment) {
  return PrintOutcome(
      environment.exchange(CallRequest(command.id, command.account, "GET")),
      output, environment);
}

ExitCode RunCommand(const ExplainCall& command, OutputFormat output,
                    Environment& environment) {
  const ExchangeResult result =
      environment.exchange(CallRequest(command.id, command.account, "GET"));
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr || response->status != kAccepted) {
    return PrintOutcome(result, output, environment);
  }
  const auto parsed = codec::ParseCallStatus(response->body);
  const auto* status = std::get_if<cell::CallStatus>(&parsed);
  if (output == OutputFormat::kJson || status == nullptr) {
    environment.out << response->body << "\n";
  } else {
    environment.out << RowOf(cell::kCallStateNames, status->state).name << ": "
                    << status->explanation << "\n";
  }
  return ExitCode::kNotEnded;
}

ExitCode RunCommand(const CancelCall& command, OutputFormat output,
                    Environment& environment) {
  return PrintOutcome(
      environment.exchange(CallRequest(command.id, command.account, "DELETE")),
      output, environment);
}

}  // namespace jasminespar::control
