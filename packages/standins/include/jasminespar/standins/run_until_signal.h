/// @file
/// Main loop of a stand-in program.

#ifndef JASMINESPAR_STANDINS_RUN_UNTIL_SIGNAL_H_
#define JASMINESPAR_STANDINS_RUN_UNTIL_SIGNAL_H_

#include <vector>

#include "jasminespar/runtime/duty.h"

namespace jasminespar::standins {

/// Starts the duties, waits for SIGINT or SIGTERM and stops the duties. Leaves
/// both signals blocked.
void RunUntilSignal(const std::vector<runtime::Duty*>& duties);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_RUN_UNTIL_SIGNAL_H_
