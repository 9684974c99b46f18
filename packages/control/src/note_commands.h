/// @file
/// Commands about the configuration.

#ifndef JASMINESPAR_CONTROL_SRC_NOTE_COMMANDS_H_
#define JASMINESPAR_CONTROL_SRC_NOTE_COMMANDS_H_

#include "jasminespar/control/run.h"

namespace jasminespar::control {

ExitCode RunCommand(const CheckNote& command, OutputForm output,
                    Environment& environment);
ExitCode RunCommand(const ApplyNote& command, OutputForm output,
                    Environment& environment);
ExitCode RunCommand(const DiffNote& command, OutputForm output,
                    Environment& environment);
ExitCode RunCommand(const ShowConfiguration& command, OutputForm output,
                    Environment& environment);
ExitCode RunCommand(const ShowHistory& command, OutputForm output,
                    Environment& environment);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SRC_NOTE_COMMANDS_H_
