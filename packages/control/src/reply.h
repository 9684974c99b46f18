/// @file
/// Creates requests and reports refusals and missing answers; shared by all
/// commands.

#ifndef JASMINESPAR_CONTROL_SRC_REPLY_H_
#define JASMINESPAR_CONTROL_SRC_REPLY_H_

#include "jasminespar/codec/problem_json.h"
#include "jasminespar/control/run.h"

namespace jasminespar::control {

[[nodiscard]] http::Request MakeRequest(std::string method, std::string target,
                                        std::string body = "");

/// @return whether the response has problem details of an instance, as opposed
///     to an error returned by an endpoint.
[[nodiscard]] bool IsProblem(const http::Response& response);

/// Prints why there is no answer.
ExitCode ReportNoAnswer(const NoAnswer& failure, std::ostream& err);
/// Prints a refusal, or the status and body of any other response.
ExitCode ReportProblem(const http::Response& response, std::ostream& err);

/// @return the exit code for a refusal.
[[nodiscard]] ExitCode ExitCodeOf(const Refusal& refusal);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SRC_REPLY_H_
