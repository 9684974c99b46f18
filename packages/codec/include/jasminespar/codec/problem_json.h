/// @file
/// JSON encoding of refusals: problem details of RFC 9457 with extension
/// members.

#ifndef JASMINESPAR_CODEC_PROBLEM_JSON_H_
#define JASMINESPAR_CODEC_PROBLEM_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/codec/parse_error.h"
#include "jasminespar/configuration/compile.h"
#include "jasminespar/configuration/conflict.h"
#include "jasminespar/configuration/release_note.h"
#include "jasminespar/core/call.h"

namespace jasminespar::codec {

inline constexpr std::string_view kProblemMediaType =
    "application/problem+json";

/// A refusal and the members that some reasons add to it.
struct Problem {
  Refusal refusal;
  std::vector<configuration::NoteError> errors;  ///< For kInvalidNote.
  configuration::NoteId winner;  ///< For kRevisionConflict: the accepted note.
  /// For kRevisionConflict.
  std::vector<configuration::KeyConflict> conflicts;
  auto operator<=>(const Problem&) const = default;
};

/// Encodes problem details. `retry_after_ms` is rounded up, because a retry
/// that comes too early is refused.
[[nodiscard]] std::string EncodeProblem(const Problem& problem);

/// Accepts any bytes and never throws; members of newer versions are ignored.
[[nodiscard]] Parsed<Problem> ParseProblem(std::string_view text);

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_PROBLEM_JSON_H_
