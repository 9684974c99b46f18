/// @file
/// What a request's body asks of the stand-in endpoint, and the answer that
/// its caller can check.

#ifndef JASMINESPAR_STANDINS_TASK_DIRECTIVE_H_
#define JASMINESPAR_STANDINS_TASK_DIRECTIVE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jasminespar/core/digest.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::standins {

struct TaskDirective {
  Duration run_time = 10ms;
  std::size_t answer_bytes = 0;  ///< Least size of the answer.
  bool fail = false;
  Duration checkpoint_time{};  ///< What saving progress takes.
};

/// @param body `key=value;...`; unknown keys and bad values are ignored, so
///     that any body is a valid request.
[[nodiscard]] TaskDirective ParseTaskDirective(std::string_view body);

/// @return a body that asks for the directive.
/// @param tag makes the body, and so the answer, different from others.
[[nodiscard]] std::string FormatTaskDirective(const TaskDirective& directive,
                                              std::string_view tag);

/// @return 16 hexadecimal digits.
[[nodiscard]] std::string FormatDigest(Digest digest);

/// @return the answer of rank 0 to the request `body` of `call`.
[[nodiscard]] std::string MakeEndpointAnswer(const CallId& call,
                                             std::string_view body);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_TASK_DIRECTIVE_H_
