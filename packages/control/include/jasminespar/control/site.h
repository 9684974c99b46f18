/// @file
/// Requests of jasminectl to the instances of a site.

#ifndef JASMINESPAR_CONTROL_SITE_H_
#define JASMINESPAR_CONTROL_SITE_H_

#include <functional>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/time.h"
#include "jasminespar/core/verdict.h"
#include "jasminespar/http/message.h"

namespace jasminespar::control {

/// No server gave an answer.
struct NoAnswer {
  Verdict verdict = Verdict::kNotRun;
  std::string detail;  ///< One line for each server.
};

using ExchangeResult = std::variant<http::Response, NoAnswer>;

/// Sends one request and waits for the answer.
using Exchange = std::function<ExchangeResult(const http::Request&)>;

/// Makes an Exchange that tries the servers in turn until one answers. A
/// request is sent to the next server also when it may have run: calls carry
/// their idempotency key and notes their id, so a second one joins the first.
/// @param timeout for each server.
[[nodiscard]] Exchange MakeExchange(std::vector<configuration::Address> servers,
                                    Duration timeout);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SITE_H_
