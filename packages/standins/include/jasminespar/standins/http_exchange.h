/// @file
/// Blocking HTTP requests to processes of the site on 127.0.0.1.

#ifndef JASMINESPAR_STANDINS_HTTP_EXCHANGE_H_
#define JASMINESPAR_STANDINS_HTTP_EXCHANGE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "jasminespar/core/time.h"
#include "jasminespar/http/message.h"

namespace jasminespar::standins {

/// @return the response, or nothing when no complete one arrived in time.
[[nodiscard]] std::optional<http::Response> SendRequest(std::uint16_t port,
                                                        http::Request request,
                                                        Duration timeout);

/// Sends `POST path` with a JSON body.
/// @return as SendRequest.
[[nodiscard]] std::optional<http::Response> PostJson(std::uint16_t port,
                                                     const std::string& path,
                                                     const nlohmann::json& body,
                                                     Duration timeout);

/// Sends `GET path`.
/// @return the JSON body of a response with status 200, otherwise nothing.
[[nodiscard]] std::optional<nlohmann::json> FetchJson(std::uint16_t port,
                                                      const std::string& path,
                                                      Duration timeout);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_HTTP_EXCHANGE_H_
