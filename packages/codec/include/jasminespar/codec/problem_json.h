/// @file
/// JSON of refusals: problem details as RFC 9457 has them, with members of
/// our own.

#ifndef JASMINESPAR_CODEC_PROBLEM_JSON_H_
#define JASMINESPAR_CODEC_PROBLEM_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/codec/parse_fault.h"
#include "jasminespar/configuration/compile.h"
#include "jasminespar/configuration/conflict.h"
#include "jasminespar/configuration/release_note.h"
#include "jasminespar/core/call.h"

namespace jasminespar::codec {

inline constexpr std::string_view kProblemMediaType =
    "application/problem+json";

struct Problem {
  Refusal refusal;
  std::vector<configuration::NoteFault> faults;       ///< Of kInvalidNote.
  configuration::NoteId winner;                       ///< Of kRevisionConflict.
  std::vector<configuration::KeyConflict> conflicts;  ///< Likewise.
  auto operator<=>(const Problem&) const = default;
};

/// `retry_after_ms` is rounded up: a retry that comes too early is refused.
[[nodiscard]] std::string EncodeProblem(const Problem& problem);

/// Accepts any bytes and never throws; members of newer versions are ignored.
[[nodiscard]] Parsed<Problem> ParseProblem(std::string_view text);

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_PROBLEM_JSON_H_
