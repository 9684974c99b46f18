/// @file
/// Commands on release notes and the configuration.

#ifndef JASMINESPAR_CONTROL_SRC_NOTE_COMMANDS_H_
#define JASMINESPAR_CONTROL_SRC_NOTE_COMMANDS_H_

#include "jasminespar/control/run.h"

namespace jasminespar::control {

ExitCode RunCommand(const CheckNote& command, OutputFormat output,
                    Environment& environment);
ExitCode RunCommand(const ApplyNote& command, OutputFormat output,
                    Environment& environment);
ExitCode RunCommand(const DiffNote& command, OutputFormat output,
                    Environment& environment);
ExitCode RunCommand(const ShowConfiguration& command, OutputFormat output,
                    Environment& environment);
ExitCode RunCommand(const ShowHistory& command, OutputFormat output,
                    Environment& environment);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SRC_NOTE_COMMANDS_H_
