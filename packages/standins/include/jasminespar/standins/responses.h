/// @file
/// Responses that the stand-in services share.

#ifndef JASMINESPAR_STANDINS_RESPONSES_H_
#define JASMINESPAR_STANDINS_RESPONSES_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "jasminespar/core/reason.h"
#include "jasminespar/http/message.h"

namespace jasminespar::standins {

[[nodiscard]] http::Response JsonResponse(int status,
                                          const nlohmann::json& body);

/// @return a body `{"reason": reason}`.
[[nodiscard]] http::Response ReasonResponse(int status,
                                            std::string_view reason);

/// @return the response that a server gives to a request which never reached
///     its handler.
[[nodiscard]] http::Response RejectionResponse(Reason reason);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_RESPONSES_H_
