#include "jasminespar/control/run.h"

#include <variant>

#include "call_commands.h"
#include "jasminespar/control/text_table.h"
#include "note_commands.h"
#include "reply.h"

namespace jasminespar::control {

namespace {

ExitCode PrintList(const std::string& target, OutputFormat output,
                   Environment& environment) {
  const ExchangeResult result =
      environment.exchange(MakeRequest("GET", target));
  if (const auto* failure = std::get_if<NoAnswer>(&result)) {
    return ReportNoAnswer(*failure, environment.err);
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != 200) return ReportProblem(response, environment.err);
  if (output == OutputFormat::kJson) {
    environment.out << response.body << "\n";
  } else {
    environment.out << TableOfJson(response.body);
  }
  return ExitCode::kDone;
}

ExitCode RunCommand(const ListInstances&, OutputFormat output,
                    Environment& environment) {
  return PrintList("/v1/instances", output, environment);
}

ExitCode RunCommand(const ListCells&, OutputFormat output,
                    Environment& environment) {
  return PrintList("/v1/cells", output, environment);
}

}  // namespace

ExitCode Run(const CommandLine& line, Environment& environment) {
  return std::visit(
      [&](const auto& command) {
        return RunCommand(command, line.output, environment);
      },
      line.command);
}

}  // namespace jasminespar::control
