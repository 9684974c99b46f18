/// @file
/// Performs one command of jasminectl.

#ifndef JASMINESPAR_CONTROL_RUN_H_
#define JASMINESPAR_CONTROL_RUN_H_

#include <functional>
#include <optional>
#include <ostream>
#include <string>

#include "jasminespar/control/command_line.h"
#include "jasminespar/control/exit_code.h"
#include "jasminespar/control/site.h"

namespace jasminespar::control {

/// External dependencies of a command; replaced in tests.
struct Environment {
  Exchange exchange;
  /// Reads a whole file; "-" is standard input.
  /// @return nothing if it cannot be read.
  std::function<std::optional<std::string>(const std::string&)> read_file;
  std::ostream& out;
  std::ostream& err;
};

/// Runs the command of `line`. Results go to `out`, errors to `err`.
[[nodiscard]] ExitCode Run(const CommandLine& line, Environment& environment);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_RUN_H_
