#include "jasminespar/codec/call_json.h"

#include <optional>

#include "json_reader.h"

namespace jasminespar::codec {

std::string EncodeCallStatus(const cell::CallStatus& status) {
  return Dump({{"id", ToString(status.id)},
               {"state", RowOf(cell::kCallStateNames, status.state).name},
               {"attempt", status.attempt.value},
               {"explanation", status.explanation}});
}

Parsed<cell::CallStatus> ParseCallStatus(std::string_view text) {
  return ParseObject<cell::CallStatus>(
      text, UnknownMembers::kIgnore,
      [](ObjectReader& reader, cell::CallStatus& status) {
        std::string id;
        reader.Read("id", Presence::kRequired, id);
        const std::optional<CallId> parsed = ParseCallId(id);
        if (!parsed) reader.errors().Add("id", "not 32 hexadecimal digits");
        status.id = parsed.value_or(CallId{});
        reader.ReadName("state", Presence::kRequired, cell::kCallStateNames,
                        status.state);
        reader.Read("attempt", Presence::kRequired, status.attempt.value);
        reader.Read("explanation", Presence::kOptional, status.explanation);
      });
}

std::string EncodeCallAccepted(const CallId& id) {
  return Dump({{"id", ToString(id)}});
}

std::string EncodeRevision(Revision revision) {
  return Dump({{"revision", revision.value}});
}

Parsed<Revision> ParseRevision(std::string_view text) {
  return ParseObject<Revision>(text, UnknownMembers::kIgnore,
                               [](ObjectReader& reader, Revision& revision) {
                                 reader.Read("revision", Presence::kRequired,
                                             revision.value);
                               });
}

}  // namespace jasminespar::codec
