/// @file
/// HTTP responses common to the stand-in services.

#ifndef JASMINESPAR_STANDINS_RESPONSES_H_
#define JASMINESPAR_STANDINS_RESPONSES_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "jasminespar/core/reason.h"
#include "jasminespar/http/message.h"

namespace jasminespar::standins {

[[nodiscard]] http::Response JsonResponse(int status,
                                          const nlohmann::json& body);

/// @return a response with the body `{"reason": reason}`.
[[nodiscard]] http::Response ReasonResponse(int status,
                                            std::string_view reason);

/// @return the response to a request that is rejected, with the reason's HTTP
///     status.
[[nodiscard]] http::Response RejectionResponse(Reason reason);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_RESPONSES_H_
