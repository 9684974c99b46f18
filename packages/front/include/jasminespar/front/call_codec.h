/// @file
/// Decodes calls from HTTP requests and encodes answers and refusals as HTTP
/// responses. Makes no decisions except whether a request is well formed.

#ifndef JASMINESPAR_FRONT_CALL_CODEC_H_
#define JASMINESPAR_FRONT_CALL_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "jasminespar/cell/messages.h"
#include "jasminespar/configuration/configuration.h"
#include "jasminespar/core/call.h"
#include "jasminespar/http/message.h"

namespace jasminespar::front {

/// Longest idempotency key in characters.
inline constexpr std::size_t kMaxKeyLength = 128;

/// Longest deadline that a caller may request.
inline constexpr Duration kMaxDeadline = 24h;

/// Decodes a POST to /v1/services/{service}/calls.
/// @param configuration the revision in force, with accounts and services.
/// @return the call, or a refusal with kNotRun for the first error.
[[nodiscard]] std::variant<CallRequest, Refusal> ParseCallRequest(
    http::Request request, const ServiceId& service,
    const configuration::Configuration& configuration);

/// @return the response to a caller: the answer, 202 for an accepted or
///     unfinished call, or problem details.
[[nodiscard]] http::Response ToResponse(const CallId& id,
                                        cell::CallReply reply);

/// @return RFC 9457 problem details with verdict and reason.
[[nodiscard]] http::Response ToProblem(const Refusal& refusal);

}  // namespace jasminespar::front

#endif  // JASMINESPAR_FRONT_CALL_CODEC_H_
