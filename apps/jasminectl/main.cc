/// @file
/// jasminectl: command line client for operators and callers.

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/control/command_line.h"
#include "jasminespar/control/run.h"
#include "jasminespar/core/overloaded.h"

namespace {

using jasminespar::Overloaded;
namespace control = jasminespar::control;

/// @param name path of the file; "-" reads standard input.
/// @return the contents, or nothing if the file cannot be opened.
std::optional<std::string> ReadFile(const std::string& name) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(name, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

control::ExitCode RunCommand(const control::CommandLine& line) {
  control::Environment environment{
      control::MakeExchange(line.servers, line.timeout), ReadFile, std::cout,
      std::cerr};
  return control::Run(line, environment);
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  const control::ExitCode code = std::visit(
      Overloaded{
          [](const control::CommandLine& line) { return RunCommand(line); },
          [](const control::UsageError& error) {
            std::cerr << "jasminectl: " << error.message << "\n";
            return control::ExitCode::kUsage;
          },
          [](const control::HelpText& help) {
            std::cout << help.text;
            return control::ExitCode::kDone;
          },
      },
      control::ParseCommandLine(arguments));
  return static_cast<int>(code);
}
