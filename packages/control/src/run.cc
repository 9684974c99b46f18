#include "jasminespar/control/run.h"

#include <variant>

#include "call_commands.h"
#include "jasminespar/control/text_table.h"
#include "note_commands.h"
#include "reply.h"

namespace jasminespar::control {

namespace {

ExitCode PrintList(const std::string& target, OutputForm output,
                   Surroundings& around) {
  const ExchangeResult result = around.exchange(MakeRequest("GET", target));
  if (const auto* failure = std::get_if<NoAnswer>(&result)) {
    return ReportNoAnswer(*failure, around.err);
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != 200) return ReportProblem(response, around.err);
  if (output == OutputForm::kJson) {
    around.out << response.body << "\n";
  } else {
    around.out << TableOfJson(response.body);
  }
  return ExitCode::kDone;
}

ExitCode RunCommand(const ListInstances&, OutputForm output,
                    Surroundings& around) {
  return PrintList("/v1/instances", output, around);
}

ExitCode RunCommand(const ListCells&, OutputForm output, Surroundings& around) {
  return PrintList("/v1/cells", output, around);
}

}  // namespace

ExitCode Run(const CommandLine& line, Surroundings& around) {
  return std::visit(
      [&](const auto& command) {
        return RunCommand(command, line.output, around);
      },
      line.command);
}

}  // namespace jasminespar::control
