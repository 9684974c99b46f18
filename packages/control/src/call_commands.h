/// @file
/// Commands on calls.

#ifndef JASMINESPAR_CONTROL_SRC_CALL_COMMANDS_H_
#define JASMINESPAR_CONTROL_SRC_CALL_COMMANDS_H_

#include "jasminespar/control/run.h"

namespace jasminespar::control {

ExitCode RunCommand(const MakeCall& command, OutputFormat output,
                    Environment& environment);
ExitCode RunCommand(const ShowStatus& command, OutputFormat output,
                    Environment& environment);
ExitCode RunCommand(const ExplainCall& command, OutputFormat output,
                    Environment& environment);
ExitCode RunCommand(const CancelCall& command, OutputFormat output,
                    Environment& environment);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SRC_CALL_COMMANDS_H_
