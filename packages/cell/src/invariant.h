/// @file
/// Check of the cell's invariants, enabled in every build.

#ifndef JASMINESPAR_CELL_INVARIANT_H_
#define JASMINESPAR_CELL_INVARIANT_H_

#include <stdexcept>

namespace jasminespar::cell {

/// @throws std::logic_error with `rule` when `holds` is false.
inline void Require(bool holds, const char* rule) {
  if (!holds) throw std::logic_error(rule);
}

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_INVARIANT_H_
