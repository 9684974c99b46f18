/// @file
/// HTTP form of calls: request headers in, answers and problems out. Decides
/// nothing but whether a request is well formed.

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

/// Longest idempotency key; characters.
inline constexpr std::size_t kMaxKeyLength = 128;

/// Longest deadline that a caller may ask for.
inline constexpr Duration kMaxDeadline = 24h;

/// Fills a call from a POST to /v1/services/{service}/calls.
/// @param configuration the revision in force; names accounts and services.
/// @return the call, or the first fault as a refusal with kNotRun.
[[nodiscard]] std::variant<CallRequest, Refusal> ParseCallRequest(
    http::Request request, const ServiceId& service,
    const configuration::Configuration& configuration);

/// @return the response to a caller: the answer itself, 202 for an accepted or
///     unfinished call, or problem details.
[[nodiscard]] http::Response ToResponse(const CallId& id,
                                        cell::CallReply reply);

/// @return RFC 9457 problem details with verdict and reason.
[[nodiscard]] http::Response ToProblem(const Refusal& refusal);

}  // namespace jasminespar::front

#endif  // JASMINESPAR_FRONT_CALL_CODEC_H_
