/// @file
/// Checks of the scheduler's invariants; a failed check is a program error.

#ifndef JASMINESPAR_SCHEDULING_INVARIANT_H_
#define JASMINESPAR_SCHEDULING_INVARIANT_H_

#include <stdexcept>
#include <string>

namespace jasminespar::scheduling {

/// Thrown when the state is inconsistent. The state must not be used any more:
/// its owner gives up the cell and recovers it from the start.
class InvariantViolation : public std::logic_error {
 public:
  explicit InvariantViolation(const std::string& what)
      : std::logic_error(what) {}
};

/// @throws InvariantViolation with the text `what` if the condition is false.
inline void Ensure(bool condition, const char* what) {
  if (!condition) throw InvariantViolation(what);
}

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_INVARIANT_H_
