/// @file
/// Commands and command-line parser of jasminectl.

#ifndef JASMINESPAR_CONTROL_COMMAND_LINE_H_
#define JASMINESPAR_CONTROL_COMMAND_LINE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::control {

enum class OutputFormat : std::uint8_t { kTable, kJson };

inline constexpr NameTable<OutputFormat, 2> kOutputFormatNames{{
    {OutputFormat::kTable, "table", "For people."},
    {OutputFormat::kJson, "json", "What the instance answered."},
}};
static_assert(IsDense(kOutputFormatNames));

enum class Verb : std::uint8_t {
  kCheck,
  kApply,
  kDiff,
  kShow,
  kHistory,
  kCall,
  kStatus,
  kExplain,
  kCancel,
  kInstances,
  kCells,
};

struct VerbRow {
  Verb value;
  std::string_view name;
  std::string_view argument;  ///< Empty when the verb takes none.
  bool needs_account;
  std::string_view help;
};

inline constexpr std::array<VerbRow, 11> kVerbs{{
    {Verb::kCheck, "check", "FILE", false,
     "Compile a release note; change nothing."},
    {Verb::kApply, "apply", "FILE", false, "Put a release note into force."},
    {Verb::kDiff, "diff", "FILE", false,
     "Show each key that a release note would change."},
    {Verb::kShow, "show", "", false, "Show the configuration in force."},
    {Verb::kHistory, "history", "", false, "List accepted notes; --after."},
    {Verb::kCall, "call", "SERVICE", true,
     "Make a call; its body comes from --body or standard input."},
    {Verb::kStatus, "status", "CALL", true,
     "Show a call's state or print its answer."},
    {Verb::kExplain, "explain", "CALL", true,
     "Say why a call does not run yet."},
    {Verb::kCancel, "cancel", "CALL", true, "Cancel a call."},
    {Verb::kInstances, "instances", "", false, "List the instances."},
    {Verb::kCells, "cells", "", false, "List the cells and their load."},
}};
static_assert(IsDense(kVerbs));

struct CheckNote {
  std::string file;  ///< Release note file; "-" is standard input.
};
struct ApplyNote {
  std::string file;  ///< Release note file; "-" is standard input.
};
struct DiffNote {
  std::string file;  ///< Release note file; "-" is standard input.
};

struct ShowConfiguration {};
struct ShowHistory {
  Revision after;  ///< Only notes above this revision are listed.
};

struct MakeCall {
  CallKey key;
  Idempotence idempotence = Idempotence::kIdempotent;
  Delivery delivery = Delivery::kWait;
  Priority priority = Priority::kNormal;
  GangShape gang;
  std::optional<Duration> deadline;  ///< Empty: the service's default.
  std::optional<std::string> body;   ///< Empty: read standard input.
};

struct ShowStatus {
  CallId id;
  ClientAccountId account;
};
struct ExplainCall {
  CallId id;
  ClientAccountId account;
};
struct CancelCall {
  CallId id;
  ClientAccountId account;
};

struct ListInstances {};
struct ListCells {};

using Command = std::variant<CheckNote, ApplyNote, DiffNote, ShowConfiguration,
                             ShowHistory, MakeCall, ShowStatus, ExplainCall,
                             CancelCall, ListInstances, ListCells>;

struct CommandLine {
  Command command;
  std::vector<configuration::Address> servers;  ///< Tried in turn.
  OutputFormat output = OutputFormat::kTable;
  Duration timeout = 30s;  ///< For one request to one server.
};

/// The command line is invalid.
struct UsageError {
  std::string message;
};

/// Help was requested.
struct HelpText {
  std::string text;
};

/// Parses the command line. Does not read files or send requests.
/// @param arguments start with the name of the program.
[[nodiscard]] std::variant<CommandLine, UsageError, HelpText> ParseCommandLine(
    const std::vector<std::string>& arguments);

}  // namespace jasminespar::control

#endif  // JASMINESPAR_CONTROL_COMMAND_LINE_H_
