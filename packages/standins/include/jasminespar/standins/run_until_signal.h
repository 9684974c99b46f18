/// @file
/// Life of a stand-in program.

#ifndef JASMINESPAR_STANDINS_RUN_UNTIL_SIGNAL_H_
#define JASMINESPAR_STANDINS_RUN_UNTIL_SIGNAL_H_

#include <vector>

#include "jasminespar/runtime/duty.h"

namespace jasminespar::standins {

/// Starts the duties, sleeps until SIGINT or SIGTERM and stops them.
void RunUntilSignal(const std::vector<runtime::Duty*>& duties);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_RUN_UNTIL_SIGNAL_H_
