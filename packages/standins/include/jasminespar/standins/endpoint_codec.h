/// @file
/// Server side of the endpoint protocol: parses request headers and encodes
/// JSON responses.

#ifndef JASMINESPAR_STANDINS_ENDPOINT_CODEC_H_
#define JASMINESPAR_STANDINS_ENDPOINT_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <variant>

#include "jasminespar/cell/task.h"
#include "jasminespar/core/reason.h"
#include "jasminespar/http/message.h"
#include "jasminespar/standins/endpoint_model.h"

namespace jasminespar::standins {

/// @param highest highest epoch of the cell that the worker has accepted.
/// @return the response to a refused request for the task report.
[[nodiscard]] http::Response ReportRefusalResponse(Reason reason,
                                                   const Epoch& highest);

/// @return the cell and epoch in the headers, or nothing when malformed.
[[nodiscard]] std::optional<Sender> ParseSender(const http::Request& request);

/// @return the task of a path `/v1/tasks/{call}/{attempt}...`, or nothing.
[[nodiscard]] std::optional<TaskKey> ParseTaskKey(std::string_view path);

/// @return the order, or the reason to refuse it: malformed headers, or a body
///     that does not match its digest.
[[nodiscard]] std::variant<cell::TaskOrder, Reason> ParseOrder(
    const http::Request& request, const TaskKey& key, const Sender& sender,
    WorkerId worker);

[[nodiscard]] nlohmann::json ToJson(const cell::ReportedTask& task);
[[nodiscard]] nlohmann::json ToJson(const RunRecord& run);

/// @return status 200 with the task's state, or the refusal.
[[nodiscard]] http::Response ToResponse(
    const EndpointModel::StateOrReason& result);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_ENDPOINT_CODEC_H_
