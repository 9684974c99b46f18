/// @file
/// Headers and JSON of the endpoint protocol, as its server sees them.

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

/// @param highest epoch of the cell that the worker has seen.
[[nodiscard]] http::Response ReportRefusal(Reason reason, const Epoch& highest);

/// @return the sender that the headers name, or nothing when malformed.
[[nodiscard]] std::optional<Sender> ParseSender(const http::Request& request);

/// @return the task of a path `/v1/tasks/{call}/{attempt}...`, or nothing.
[[nodiscard]] std::optional<TaskKey> ParseTaskKey(std::string_view path);

/// @return the order, or why it is refused.
[[nodiscard]] std::variant<cell::TaskOrder, Reason> ParseOrder(
    const http::Request& request, const TaskKey& key, const Sender& sender,
    WorkerId worker);

[[nodiscard]] nlohmann::json ToJson(const cell::ReportedTask& task);
[[nodiscard]] nlohmann::json ToJson(const RunRecord& run);

/// @return status 200 with the state, or the refusal.
[[nodiscard]] http::Response ToResponse(
    const EndpointModel::StateOrReason& result);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_ENDPOINT_CODEC_H_
