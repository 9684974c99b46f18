/// @file
/// JSON of the state of a call and of operators' answers.

#ifndef JASMINESPAR_CODEC_CALL_JSON_H_
#define JASMINESPAR_CODEC_CALL_JSON_H_

#include <string>
#include <string_view>

#include "jasminespar/cell/messages.h"
#include "jasminespar/codec/parse_fault.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::codec {

/// @return {"id", "state", "attempt", "explanation"}.
[[nodiscard]] std::string EncodeCallStatus(const cell::CallStatus& status);

/// Accepts any bytes and never throws.
[[nodiscard]] Parsed<cell::CallStatus> ParseCallStatus(std::string_view text);

/// @return {"id"}: the call is durable and can be collected.
[[nodiscard]] std::string EncodeCallAccepted(const CallId& id);

/// @return {"revision"}: the answer to an accepted note.
[[nodiscard]] std::string EncodeRevision(Revision revision);

/// Accepts any bytes and never throws.
[[nodiscard]] Parsed<Revision> ParseRevision(std::string_view text);

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_CALL_JSON_H_
