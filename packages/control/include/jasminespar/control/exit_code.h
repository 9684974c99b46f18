/// @file
/// Exit codes of jasminectl.

#ifndef JASMINESPAR_CONTROL_EXIT_CODE_H_
#define JASMINESPAR_CONTROL_EXIT_CODE_H_

#include <cstdint>

#include "jasminespar/core/name_table.h"

namespace jasminespar::control {

enum class ExitCode : std::uint8_t {
  kDone,
  kLocalFault,
  kUsage,
  kRefused,
  kUnknownOutcome,
  kConflict,
  kInvalidNote,
  kNotEnded,
  kEndpointError,
};

inline constexpr NameTable<ExitCode, 9> kExitCodes{{
    {ExitCode::kDone, "done", "What was asked for is done."},
    {ExitCode::kLocalFault, "local_fault",
     "A file could not be read or parsed; nothing was sent."},
    {ExitCode::kUsage, "usage", "The command line is wrong."},
    {ExitCode::kRefused, "refused",
     "Refused or unreachable, and certainly not run."},
    {ExitCode::kUnknownOutcome, "unknown_outcome",
     "It may have run: repeat the command with the same key or file."},
    {ExitCode::kConflict, "conflict",
     "Another note was accepted on the same base."},
    {ExitCode::kInvalidNote, "invalid_note", "The note does not compile."},
    {ExitCode::kNotEnded, "not_ended",
     "The call is accepted and has no outcome yet."},
    {ExitCode::kEndpointError, "endpoint_error",
     "The call ran, and its answer has an error status."},
}};
static_assert(IsDense(kExitCodes));

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_EXIT_CODE_H_
