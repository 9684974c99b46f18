/// @file
/// Exception of the set-up and I/O layers; caught at the boundary of a duty.

#ifndef JASMINESPAR_CORE_ERROR_H_
#define JASMINESPAR_CORE_ERROR_H_

#include <stdexcept>
#include <string>

#include "jasminespar/core/reason.h"
#include "jasminespar/core/verdict.h"

namespace jasminespar {

/// Failure of an operation, with its reason and whether it may have run.
class Error : public std::runtime_error {
 public:
  /// @param detail follows the reason's name in the text of `what()`.
  Error(Reason reason, Verdict verdict, const std::string& detail)
      : std::runtime_error(std::string(NameOf(reason)) + ": " + detail),
        reason_(reason),
        verdict_(verdict) {}

  [[nodiscard]] Reason reason() const noexcept { return reason_; }
  [[nodiscard]] Verdict verdict() const noexcept { return verdict_; }

 private:
  Reason reason_;
  Verdict verdict_;
};

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_ERROR_H_
