/// @file
/// Effects collected while one input is handled.

#ifndef JASMINESPAR_CELL_EFFECT_LIST_H_
#define JASMINESPAR_CELL_EFFECT_LIST_H_

#include <vector>

#include "jasminespar/cell/messages.h"

namespace jasminespar::cell {

/// In the order in which they must be performed.
using EffectList = std::vector<Effect>;

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_EFFECT_LIST_H_
