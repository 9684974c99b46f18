/// @file
/// JSON encoding of call states and of replies to operators.

#ifndef JASMINESPAR_CODEC_CALL_JSON_H_
#define JASMINESPAR_CODEC_CALL_JSON_H_

#include <string>
#include <string_view>

#include "jasminespar/cell/messages.h"
#include "jasminespar/codec/parse_error.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::codec {

/// @return {"id", "state", "attempt", "explanation"}.
[[nodiscard]] std::string EncodeCallStatus(const cell::CallStatus& status);

/// Accepts any bytes and never throws.
[[nodiscard]] Parsed<cell::CallStatus> ParseCallStatus(std::string_view text);

/// @return {"id"}, the reply to a call that is stored durably and whose answer
///     can be fetched later.
[[nodiscard]] std::string EncodeCallAccepted(const CallId& id);

/// @return {"revision"}, the reply to an accepted release note.
[[nodiscard]] std::string EncodeRevision(Revision revision);

/// Accepts any bytes and never throws.
[[nodiscard]] Parsed<Revision> ParseRevision(std::string_view text);

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_CALL_JSON_H_
