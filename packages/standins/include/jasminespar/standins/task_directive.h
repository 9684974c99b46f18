/// @file
/// Directives for the stand-in endpoint in the body of a call, and the answer
/// that the caller expects.

#ifndef JASMINESPAR_STANDINS_TASK_DIRECTIVE_H_
#define JASMINESPAR_STANDINS_TASK_DIRECTIVE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jasminespar/core/digest.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// How the stand-in endpoint executes a task.
struct TaskDirective {
  Duration run_time = 10ms;
  std::size_t answer_bytes = 0;  ///< Minimum size of the answer.
  bool fail = false;             ///< End in state failed.
  Duration checkpoint_time{};    ///< Time that saving a checkpoint takes.
};

/// @param body `key=value;...`; unknown keys are ignored and a value that is no
///     number counts as 0, so that every body is valid.
[[nodiscard]] TaskDirective ParseTaskDirective(std::string_view body);

/// @param tag makes the body, and with it the answer, unique.
/// @return a body with the directive.
[[nodiscard]] std::string FormatTaskDirective(const TaskDirective& directive,
                                              std::string_view tag);

/// @return 16 hexadecimal digits.
[[nodiscard]] std::string FormatDigest(Digest digest);

/// @return the answer of the task of rank 0 to the request `body` of `call`.
[[nodiscard]] std::string MakeEndpointAnswer(const CallId& call,
                                             std::string_view body);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_TASK_DIRECTIVE_H_
