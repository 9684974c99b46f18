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

/// What a command may touch; replaced in tests.
struct Environment {
  Exchange exchange;
  /// @return the whole file, "-" for standard input; nothing when unreadable.
  std::function<std::optional<std::string>(const std::string&)> read_file;
  std::ostream& out;
  std::ostream& err;
};

[[nodiscard]] ExitCode Run(const CommandLine& line, Environment& environment);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_RUN_H_
