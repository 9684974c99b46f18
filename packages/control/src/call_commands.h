/// @file
/// Commands about calls.

#ifndef JASMINESPAR_CONTROL_SRC_CALL_COMMANDS_H_
#define JASMINESPAR_CONTROL_SRC_CALL_COMMANDS_H_

#include "jasminespar/control/run.h"

namespace jasminespar::control {

ExitCode RunCommand(const MakeCall& command, OutputForm output,
                    Surroundings& around);
ExitCode RunCommand(const ShowStatus& command, OutputForm output,
                    Surroundings& around);
ExitCode RunCommand(const ExplainCall& command, OutputForm output,
                    Surroundings& around);
ExitCode RunCommand(const CancelCall& command, OutputForm output,
                    Surroundings& around);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SRC_CALL_COMMANDS_H_
