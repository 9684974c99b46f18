#include "note_commands.h"

#include "jasminespar/codec/call_json.h"
#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/configuration/difference.h"
#include "jasminespar/configuration/item_keys.h"
#include "jasminespar/control/note_file.h"
#include "jasminespar/control/text_table.h"
#include "reply.h"

namespace jasminespar::control {

namespace {

using configuration::Configuration;
using configuration::KeyDifference;
using configuration::ReleaseNote;

constexpr int kOk = 200;
constexpr const char* kNotesTarget = "/v1/release-notes";

std::string NotesAfter(Revision revision) {
  return std::string(kNotesTarget) + "?after=" + std::to_string(revision.value);
}

/// A note file and the configuration in force that it changes.
struct LoadedNote {
  Configuration base;
  NoteFile file;
};

/// Sends a GET request and reports a failure.
/// @return the response body, or the exit code of the failure.
std::variant<std::string, ExitCode> Fetch(const std::string& target,
                                          Environment& environment) {
  const ExchangeResult result =
      environment.exchange(MakeRequest("GET", target));
  if (const auto* failure = std::get_if<NoAnswer>(&result)) {
    return ReportNoAnswer(*failure, environment.err);
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != kOk) return ReportProblem(response, environment.err);
  return response.body;
}

ExitCode ReportParseErrors(const std::vector<codec::ParseError>& errors,
                           std::ostream& err) {
  for (const codec::ParseError& error : errors) {
    err << "unexpected answer: " << error.path << ": " << error.message << "\n";
  }
  return ExitCode::kUnknownOutcome;
}

std::variant<Configuration, ExitCode> FetchConfiguration(
    Environment& environment) {
  const auto body = Fetch("/v1/configuration", environment);
  if (const auto* code = std::get_if<ExitCode>(&body)) return *code;
  const auto parsed = codec::ParseConfiguration(std::get<std::string>(body));
  if (parsed.index() != 0) {
    return ReportParseErrors(std::get<1>(parsed), environment.err);
  }
  return std::get<0>(parsed);
}

std::variant<LoadedNote, ExitCode> LoadNote(const std::string& file,
                                            Environment& environment) {
  const std::optional<std::string> text = environment.read_file(file);
  if (!text) {
    environment.err << file << ": cannot be read\n";
    return ExitCode::kLocalFault;
  }
  auto base = FetchConfiguration(environment);
  if (const auto* code = std::get_if<ExitCode>(&base)) return *code;
  auto& configuration = std::get<Configuration>(base);
  auto parsed = ParseNoteFile(*text, file, configuration);
  if (auto* note = std::get_if<NoteFile>(&parsed)) {
    return LoadedNote{std::move(configuration), std::move(*note)};
  }
  for (const settings::SettingError& error : std::get<1>(parsed)) {
    environment.err << ToString(error) << "\n";
  }
  return ExitCode::kLocalFault;
}

/// Prints the errors of a refused note with their lines in the file.
ExitCode ReportNoteProblem(const NoteFile& file, const http::Response& response,
                           std::ostream& err) {
  const auto parsed = codec::ParseProblem(response.body);
  if (const auto* problem = std::get_if<codec::Problem>(&parsed)) {
    for (const configuration::NoteError& error : problem->errors) {
      err << ToString(Locate(file, error)) << "\n";
    }
  }
  return ReportProblem(response, err);
}

/// After a lost answer, checks in the history whether the note became the next
/// revision. If no note has, the outcome is unknown: this one still may.
ExitCode ResolveFromHistory(const ReleaseNote& note, Environment& environment) {
  const auto body = Fetch(NotesAfter(note.base), environment);
  if (const auto* text = std::get_if<std::string>(&body)) {
    const auto parsed = codec::ParseNotes(*text);
    const auto* notes = std::get_if<std::vector<ReleaseNote>>(&parsed);
    if (notes != nullptr && !notes->empty() &&
        notes->front().base == note.base) {
      const bool own = notes->front().id == note.id;
      (own ? environment.out : environment.err)
          << (own ? "accepted" : "conflict: another note was accepted")
          << ": revision " << note.base.value + 1 << "\n";
      return own ? ExitCode::kDone : ExitCode::kConflict;
    }
  }
  environment.err << "unknown whether note " << note.id.value
                  << " was accepted; see: history --after " << note.base.value
                  << "\n";
  return ExitCode::kUnknownOutcome;
}

/// Reports a note whose request did not return status 200.
ExitCode ReportNotAccepted(const NoteFile& file, const ExchangeResult& result,
                           std::ostream& err) {
  if (const auto* failure = std::get_if<NoAnswer>(&result)) {
    return ReportNoAnswer(*failure, err);
  }
  return ReportNoteProblem(file, std::get<http::Response>(result), err);
}

ExitCode ReportAccepted(const http::Response& response, OutputFormat output,
                        const std::string& done, std::ostream& out) {
  if (output == OutputFormat::kJson) {
    out << response.body << "\n";
    return ExitCode::kDone;
  }
  const auto revision = codec::ParseRevision(response.body);
  out << done;
  if (const auto* value = std::get_if<Revision>(&revision)) {
    out << ": revision " << value->value;
  }
  out << "\n";
  return ExitCode::kDone;
}

ExitCode PostNote(const LoadedNote& loaded, const std::string& target,
                  OutputFormat output, const std::string& done,
                  Environment& environment) {
  http::Request request =
      MakeRequest("POST", target, codec::EncodeNote(loaded.file.note));
  request.headers.push_back({"Content-Type", "application/json"});
  const ExchangeResult result = environment.exchange(request);
  const auto* response = std::get_if<http::Response>(&result);
  if (response != nullptr && response->status == kOk) {
    return ReportAccepted(*response, output, done, environment.out);
  }
  return ReportNotAccepted(loaded.file, result, environment.err);
}

/// @return whether the note adds and withdraws nothing. Notes that do are sent
///     even if they have no effect, so that the instance checks their items: a
///     withdrawal with a misspelt name has no effect either.
bool HasOnlyChanges(const ReleaseNote& note) {
  return note.accounts.added.empty() && note.accounts.withdrawn.empty() &&
         note.services.added.empty() && note.services.withdrawn.empty();
}

void PrintDifferences(const std::vector<KeyDifference>& differences,
                      std::ostream& out) {
  std::vector<TextRow> rows;
  for (const KeyDifference& difference : differences) {
    rows.push_back(
        {difference.item, difference.key, difference.before, difference.after});
  }
  out << FormatTable({"item", "key", "before", "after"}, rows);
}

template <typename Items, typename Rows>
void PrintItems(const std::string& kind, const Items& items, const Rows& keys,
                std::ostream& out) {
  TextRow header = {kind};
  for (const auto& key : keys) header.push_back(std::string(key.name));
  std::vector<TextRow> rows;
  for (const auto& [id, item] : items) {
    TextRow row = {id.value};
    for (const auto& key : keys) row.push_back(TextOf(item, key.value));
    rows.push_back(std::move(row));
  }
  out << FormatTable(header, rows);
}

/// @return the numbers of added (+), changed (~) and withdrawn (-) accounts and
///     services.
std::string FormatChangeCounts(const ReleaseNote& note) {
  const auto count = [](const auto& changes) {
    return "+" + std::to_string(changes.added.size()) + " ~" +
           std::to_string(changes.changed.size()) + " -" +
           std::to_string(changes.withdrawn.size());
  };
  return count(note.accounts) + " / " + count(note.services);
}

}  // namespace

ExitCode RunCommand(const CheckNote& command, OutputFormat output,
                    Environment& environment) {
  const auto loaded = LoadNote(command.file, environment);
  if (const auto* code = std::get_if<ExitCode>(&loaded)) return *code;
  return PostNote(std::get<LoadedNote>(loaded),
                  std::string(kNotesTarget) + "?check=true", output, "compiles",
                  environment);
}

ExitCode RunCommand(const ApplyNote& command, OutputFormat output,
                    Environment& environment) {
  const auto result = LoadNote(command.file, environment);
  if (const auto* code = std::get_if<ExitCode>(&result)) return *code;
  const auto& loaded = std::get<LoadedNote>(result);
  const ReleaseNote& note = loaded.file.note;
  if (HasOnlyChanges(note) &&
      FindDifferences(loaded.base, *Apply(loaded.base, note)).empty()) {
    environment.out << "nothing to change: in force with revision "
                    << loaded.base.revision.value << "\n";
    return ExitCode::kDone;
  }
  const ExitCode code =
      PostNote(loaded, kNotesTarget, output, "accepted", environment);
  if (code != ExitCode::kUnknownOutcome) return code;
  return ResolveFromHistory(note, environment);
}

ExitCode RunCommand(const DiffNote& command, OutputFormat output,
                    Environment& environment) {
  const auto loaded = LoadNote(command.file, environment);
  if (const auto* code = std::get_if<ExitCode>(&loaded)) return *code;
  const auto& [base, file] = std::get<LoadedNote>(loaded);
  if (output == OutputFormat::kJson) {
    environment.out << codec::EncodeNote(file.note) << "\n";
    return ExitCode::kDone;
  }
  PrintDifferences(FindDifferences(base, *Apply(base, file.note)),
                   environment.out);
  return ExitCode::kDone;
}

ExitCode RunCommand(const ShowConfiguration&, OutputFormat output,
                    Environment& environment) {
  const auto fetched = FetchConfiguration(environment);
  if (const auto* code = std::get_if<ExitCode>(&fetched)) return *code;
  const auto& configuration = std::get<Configuration>(fetched);
  if (output == OutputFormat::kJson) {
    environment.out << codec::EncodeConfiguration(configuration) << "\n";
    return ExitCode::kDone;
  }
  environment.out << "revision " << configuration.revision.value << "\n\n";
  PrintItems("account", configuration.accounts, configuration::kAccountKeys,
             environment.out);
  environment.out << "\n";
  PrintItems("service", configuration.services, configuration::kServiceKeys,
             environment.out);
  return ExitCode::kDone;
}

ExitCode RunCommand(const ShowHistory& command, OutputFormat output,
                    Environment& environment) {
  const auto body = Fetch(NotesAfter(command.after), environment);
  if (const auto* code = std::get_if<ExitCode>(&body)) return *code;
  const auto& text = std::get<std::string>(body);
  if (output == OutputFormat::kJson) {
    environment.out << text << "\n";
    return ExitCode::kDone;
  }
  const auto parsed = codec::ParseNotes(text);
  if (parsed.index() != 0) {
    return ReportParseErrors(std::get<1>(parsed), environment.err);
  }
  std::vector<TextRow> rows;
  for (const ReleaseNote& note : std::get<0>(parsed)) {
    rows.push_back({std::to_string(note.base.value + 1), note.id.value,
                    FormatChangeCounts(note), note.title});
  }
  environment.out << FormatTable(
      {"revision", "note", "accounts / services", "title"}, rows);
  return ExitCode::kDone;
}

}  // namespace jasminespar::control
