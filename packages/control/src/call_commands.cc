#include "call_commands.h"

#include "jasminespar/codec/call_json.h"
#include "jasminespar/control/text_table.h"
#include "reply.h"

namespace jasminespar::control {

namespace {

constexpr int kAccepted = 202;
constexpr int kFirstErrorStatus = 400;

http::Request RequestFor(const MakeCall& call, std::string body) {
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

http::Request RequestAbout(const CallId& id, const ClientAccountId& account,
                           const std::string& method) {
  http::Request request = MakeRequest(method, "/v1/calls/" + ToString(id));
  request.headers = {{"Jasminespar-Account", account.value}};
  return request;
}

void PrintNotEnded(const std::string& body, OutputForm output,
                   std::ostream& out) {
  const auto parsed = codec::ParseCallStatus(body);
  const auto* status = std::get_if<cell::CallStatus>(&parsed);
  if (output == OutputForm::kJson || status == nullptr) {
    out << body << "\n";
    return;
  }
  out << FormatTable(
      {"id", "state", "attempt", "explanation"},
      {{ToString(status->id),
        std::string(RowOf(cell::kCallStateNames, status->state).name),
        std::to_string(status->attempt.value), status->explanation}});
}

/// An answer is printed as it is, whatever the form of output: it is the
/// caller's data.
ExitCode PrintOutcome(const ExchangeResult& result, OutputForm output,
                      Surroundings& around) {
  if (const auto* failure = std::get_if<NoAnswer>(&result)) {
    return ReportNoAnswer(*failure, around.err);
  }
  const auto& response = std::get<http::Response>(result);
  if (IsProblem(response)) return ReportProblem(response, around.err);
  if (response.status == kAccepted) {
    PrintNotEnded(response.body, output, around.out);
    return ExitCode::kNotEnded;
  }
  if (response.status < kFirstErrorStatus) {
    around.out << response.body;
    return ExitCode::kDone;
  }
  // Without this header an intermediary made the error, and what became of
  // the call is unknown.
  if (http::HeaderOf(response.headers, "Jasminespar-Call").empty()) {
    return ReportProblem(response, around.err);
  }
  around.out << response.body;
  return ExitCode::kEndpointError;
}

}  // namespace

ExitCode RunCommand(const MakeCall& command, OutputForm output,
                    Surroundings& around) {
  std::optional<std::string> body = command.body;
  if (!body) body = around.read_file("-");
  if (!body) {
    around.err << "standard input: cannot be read\n";
    return ExitCode::kLocalFault;
  }
  const http::Request request = RequestFor(command, std::move(*body));
  around.err << "call " << ToString(IdOf(command.key)) << "\n";
  return PrintOutcome(around.exchange(request), output, around);
}

ExitCode RunCommand(const ShowStatus& command, OutputForm output,
                    Surroundings& around) {
  return PrintOutcome(
      around.exchange(RequestAbout(command.id, command.account, "GET")), output,
      around);
}

ExitCode RunCommand(const ExplainCall& command, OutputForm output,
                    Surroundings& around) {
  const ExchangeResult result =
      around.exchange(RequestAbout(command.id, command.account, "GET"));
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr || response->status != kAccepted) {
    return PrintOutcome(result, output, around);
  }
  const auto parsed = codec::ParseCallStatus(response->body);
  const auto* status = std::get_if<cell::CallStatus>(&parsed);
  if (output == OutputForm::kJson || status == nullptr) {
    around.out << response->body << "\n";
  } else {
    around.out << RowOf(cell::kCallStateNames, status->state).name << ": "
               << status->explanation << "\n";
  }
  return ExitCode::kNotEnded;
}

ExitCode RunCommand(const CancelCall& command, OutputForm output,
                    Surroundings& around) {
  return PrintOutcome(
      around.exchange(RequestAbout(command.id, command.account, "DELETE")),
      output, around);
}

}  // namespace jasminespar::control
