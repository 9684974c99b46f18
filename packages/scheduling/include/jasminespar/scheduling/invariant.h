/// @file
/// Failure of an invariant of the scheduler; a fault of the program.

#ifndef JASMINESPAR_SCHEDULING_INVARIANT_H_
#define JASMINESPAR_SCHEDULING_INVARIANT_H_

#include <stdexcept>
#include <string>

namespace jasminespar::scheduling {

/// Thrown when the state contradicts itself. The state must not be used on:
/// its owner gives the cell up and recovers it afresh.
class InvariantViolation : public std::logic_error {
 public:
  explicit InvariantViolation(const std::string& what)
      : std::logic_error(what) {}
};

/// @throws InvariantViolation when the condition does not hold.
inline void Ensure(bool condition, const char* what) {
  if (!condition) throw InvariantViolation(what);
}

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_INVARIANT_H_
