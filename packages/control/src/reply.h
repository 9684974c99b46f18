/// @file
/// Reports refusals and missing answers, the same for each command.

#ifndef JASMINESPAR_CONTROL_SRC_REPLY_H_
#define JASMINESPAR_CONTROL_SRC_REPLY_H_

#include "jasminespar/codec/problem_json.h"
#include "jasminespar/control/run.h"

namespace jasminespar::control {

[[nodiscard]] http::Request MakeRequest(std::string method, std::string target,
                                        std::string body = "");

/// @return whether the response is one of our problem details, and not an
///     endpoint's own error.
[[nodiscard]] bool IsProblem(const http::Response& response);

/// Prints why there is no result.
ExitCode ReportNoAnswer(const NoAnswer& failure, std::ostream& err);
ExitCode ReportProblem(const http::Response& response, std::ostream& err);

/// @return the exit code that a refusal stands for.
[[nodiscard]] ExitCode ExitCodeOf(const Refusal& refusal);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SRC_REPLY_H_
