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

/// No server answered.
struct NoAnswer {
  Verdict verdict = Verdict::kNotRun;  ///< Combined over all servers.
  std::string detail;                  ///< One line per server.
};

using ExchangeResult = std::variant<http::Response, NoAnswer>;

/// Sends one request and blocks until the answer or the timeout.
using Exchange = std::function<ExchangeResult(const http::Request&)>;

/// Creates an Exchange that tries the servers in order until one answers. It
/// tries the next server even if the request may have run: calls carry an
/// idempotency key and notes an id, so a repeated request joins the first.
/// @param timeout per server.
[[nodiscard]] Exchange MakeExchange(std::vector<configuration::Address> servers,
                                    Duration timeout);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_SITE_H_
