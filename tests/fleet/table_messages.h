/// @file
/// The other side of the platform's table codec: what a stand-in of the table
/// service reads and answers. Row values stay in base64, as they are sent.

#ifndef JASMINESPAR_TESTS_FLEET_TABLE_MESSAGES_H_
#define JASMINESPAR_TESTS_FLEET_TABLE_MESSAGES_H_

#include <optional>

#include "jasminespar/http/message.h"
#include "jasminespar/site/table.h"

namespace jasminespar::fleet {

/// @return nothing for a request that the service does not have.
/// @throws std::exception when the request is malformed.
[[nodiscard]] std::optional<site::TableRequest> ToTableRequest(
    const http::Request& request);

[[nodiscard]] http::Response ToResponse(const site::TableOutcome& outcome);

}  // namespace jasminespar::fleet

#endif  // JASMINESPAR_TESTS_FLEET_TABLE_MESSAGES_H_
