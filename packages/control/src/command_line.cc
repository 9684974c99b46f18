#include "jasminespar/control/command_line.h"

#include <algorithm>
// Values are never split, because file names may contain commas.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>
#include <limits>
#include <optional>
#include <stdexcept>
#include <utility>

#include "jasminespar/configuration/value_text.h"
#include "jasminespar/control/exit_code.h"

namespace jasminespar::control {

namespace {

using configuration::Unit;

/// Thrown for an invalid option; ParseCommandLine catches it.
class OptionError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options("jasminectl", "Operates a jasminespar site.");
  options.custom_help("--server HOST:PORT [OPTION...]");
  options.positional_help("VERB [ARGUMENT]");
  const auto text = [] { return cxxopts::value<std::string>(); };
  const auto texts = [] { return cxxopts::value<std::vector<std::string>>(); };
  options.add_options()  //
      ("s,server", "Instance or balancer; several are tried in turn",
       texts())                                                      //
      ("o,output", "table or json", text()->default_value("table"))  //
      ("t,timeout", "Longest wait for one server, such as 30s",
       text()->default_value("30s"))  //
      ("after", "history: notes above this revision",
       text()->default_value("0"))                       //
      ("a,account", "Client account of a call", text())  //
      ("k,key", "call: idempotency key; the same key is the same call",
       text())                                                                //
      ("body", "call: body; default: standard input", text())                 //
      ("accelerators", "call: size of the gang", text()->default_value("1"))  //
      ("adjacency", "call: any, rack or worker",
       text()->default_value("any"))  //
      ("priority", "call: urgent, normal or batch",
       text()->default_value("normal"))                                  //
      ("deadline", "call: such as 90s; default: the service's", text())  //
      ("once", "call: not idempotent, runs at most once")                //
      ("async", "call: do not wait for the answer")                      //
      ("h,help", "Print this text")                                      //
      ("words", "VERB [ARGUMENT]", texts());
  options.parse_positional({"words"});
  return options;
}

std::string FormatHelp(const cxxopts::Options& options) {
  std::string text = options.help() + "\nVerbs:\n";
  for (const VerbRow& row : kVerbs) {
    std::string verb(row.name);
    if (!row.argument.empty()) verb += " " + std::string(row.argument);
    verb.resize(std::max<std::size_t>(verb.size(), 16), ' ');
    text += "  " + verb + std::string(row.help) + "\n";
  }
  text += "\nExit codes:\n";
  for (const auto& row : kExitCodes) {
    text += "  " + std::to_string(static_cast<int>(row.value)) + "  " +
            std::string(row.help) + "\n";
  }
  return text;
}

template <typename Row, std::size_t kSize>
auto EnumOption(const cxxopts::ParseResult& result, const std::string& option,
                const std::array<Row, kSize>& table) {
  const auto value = ParseName(table, result[option].as<std::string>());
  if (value) return *value;
  std::string names;
  for (const Row& row : table) {
    names += (names.empty() ? "" : ", ") + std::string(row.name);
  }
  throw OptionError("--" + option + ": allowed: " + names);
}

std::int64_t NumericOption(const cxxopts::ParseResult& result,
                           const std::string& option, Unit unit,
                           std::int64_t min, std::int64_t max) {
  const auto number =
      configuration::ParseNumber(unit, result[option].as<std::string>());
  if (number && *number >= min && *number <= max) return *number;
  throw OptionError("--" + option +
                    ": allowed: " + configuration::FormatNumber(unit, min) +
                    " to " + configuration::FormatNumber(unit, max));
}

configuration::Address ParseServer(const std::string& text) {
  constexpr std::int64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
  const std::size_t colon = std::min(text.find(':'), text.size());
  const std::string host = text.substr(0, colon);
  const std::string_view digits =
      std::string_view(text).substr(std::min(colon + 1, text.size()));
  const std::int64_t port =
      configuration::ParseNumber(Unit::kPort, digits).value_or(0);
  if (!configuration::IsValidText(Unit::kHost, host) || port < 1 ||
      port > kMaxPort) {
    throw OptionError("--server " + text +
                      ": allowed: IP number and port, such as 127.0.0.1:8001");
  }
  return {host, static_cast<std::uint16_t>(port)};
}

std::string TextOption(const cxxopts::ParseResult& result,
                       const std::string& option) {
  return result.count(option) == 0 ? "" : result[option].as<std::string>();
}

/// Rejects invalid names, because names are inserted into the target and
/// headers of a request.
std::string RequireName(const std::string& what, const std::string& text) {
  if (configuration::IsValidName(text)) return text;
  throw OptionError(
      what + " " + text + ": allowed: " +
      std::string(RowOf(configuration::kUnitNames, Unit::kName).help));
}

std::string RequireKey(const std::string& text) {
  constexpr std::size_t kMaxKeyBytes = 128;
  const bool visible = std::all_of(
      text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
  if (!text.empty() && text.size() <= kMaxKeyBytes && visible) return text;
  throw OptionError(
      "call needs --key of 1 to 128 visible characters: the same key is the "
      "same call");
}

CallId ParseCallArgument(const std::string& text) {
  const std::optional<CallId> id = ParseCallId(text);
  if (!id) throw OptionError(text + " names no call: 32 hexadecimal digits");
  return *id;
}

MakeCall ParseMakeCall(const cxxopts::ParseResult& result, CallKey key) {
  MakeCall call;
  call.key = std::move(key);
  call.key.service = {RequireName("service", call.key.service.value)};
  call.key.idempotency_key = RequireKey(TextOption(result, "key"));
  if (result.count("body") > 0) call.body = TextOption(result, "body");
  if (result.count("once") > 0) call.idempotence = Idempotence::kNonIdempotent;
  if (result.count("async") > 0) call.delivery = Delivery::kCollect;
  call.gang.accelerators = static_cast<int>(NumericOption(
      result, "accelerators", Unit::kCount, 1, kMaxGangAccelerators));
  call.gang.adjacency = EnumOption(result, "adjacency", kAdjacencyNames);
  call.priority = EnumOption(result, "priority", kPriorityNames);
  if (result.count("deadline") > 0) {
    call.deadline =
        Duration(NumericOption(result, "deadline", Unit::kDuration,
                               Duration(1ms).count(), Duration(24h).count()));
  }
  return call;
}

Command MakeCommand(const cxxopts::ParseResult& result, Verb verb,
                    const std::string& argument) {
  const ClientAccountId account{TextOption(result, "account")};
  switch (verb) {
    case Verb::kCheck:
      return CheckNote{argument};
    case Verb::kApply:
      return ApplyNote{argument};
    case Verb::kDiff:
      return DiffNote{argument};
    case Verb::kShow:
      return ShowConfiguration{};
    case Verb::kHistory:
      return ShowHistory{{static_cast<std::uint64_t>(
          NumericOption(result, "after", Unit::kCount, 0,
                        std::numeric_limits<std::int64_t>::max()))}};
    case Verb::kCall:
      return ParseMakeCall(result, {account, {argument}, ""});
    case Verb::kStatus:
      return ShowStatus{ParseCallArgument(argument), account};
    case Verb::kExplain:
      return ExplainCall{ParseCallArgument(argument), account};
    case Verb::kCancel:
      return CancelCall{ParseCallArgument(argument), account};
    case Verb::kInstances:
      return ListInstances{};
    case Verb::kCells:
      break;
  }
  return ListCells{};
}

Command ParseCommand(const cxxopts::ParseResult& result) {
  const auto words = result.count("words") == 0
                         ? std::vector<std::string>{}
                         : result["words"].as<std::vector<std::string>>();
  const auto verb = words.empty() ? std::nullopt : ParseName(kVerbs, words[0]);
  if (!verb) throw OptionError("no verb, or an unknown one; see --help");
  const VerbRow& row = RowOf(kVerbs, *verb);
  const std::string name(row.name);
  if (words.size() != (row.argument.empty() ? 1 : 2)) {
    throw OptionError(
        name + " takes " +
        (row.argument.empty() ? "no argument" : std::string(row.argument)));
  }
  if (row.needs_account) {
    static_cast<void>(RequireName("--account", TextOption(result, "account")));
  }
  return MakeCommand(result, *verb, words.back());
}

CommandLine ParseOptions(const cxxopts::ParseResult& result) {
  CommandLine line;
  line.command = ParseCommand(result);
  if (result.count("server") == 0) throw OptionError("--server is missing");
  for (const auto& server : result["server"].as<std::vector<std::string>>()) {
    line.servers.push_back(ParseServer(server));
  }
  line.output = EnumOption(result, "output", kOutputFormatNames);
  line.timeout =
      Duration(NumericOption(result, "timeout", Unit::kDuration,
                             Duration(1ms).count(), Duration(24h).count()));
  return line;
}

}  // namespace

std::variant<CommandLine, UsageError, HelpText> ParseCommandLine(
    const std::vector<std::string>& arguments) {
  std::vector<const char*> pointers;
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult result =
        options.parse(static_cast<int>(pointers.size()), pointers.data());
    if (result.count("help") > 0) return HelpText{FormatHelp(options)};
    return ParseOptions(result);
  } catch (const cxxopts::exceptions::exception& error) {
    return UsageError{error.what()};
  } catch (const OptionError& error) {
    return UsageError{error.what()};
  }
}

}  // namespace jasminespar::control
