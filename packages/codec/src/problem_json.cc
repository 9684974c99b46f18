#include "jasminespar/codec/problem_json.h"

#include <utility>

#include "json_reader.h"

namespace jasminespar::codec {

namespace {

using configuration::KeyConflict;
using configuration::NoteError;

std::int64_t MillisecondsRoundedUp(Duration duration) {
  return ToMilliseconds(duration + 999us);
}

Json ToJson(const std::vector<NoteError>& errors) {
  Json list = Json::array();
  for (const NoteError& error : errors) {
    list.push_back({{"section", error.section},
                    {"key", error.key},
                    {"message", error.message}});
  }
  return list;
}

Json ToJson(const std::vector<KeyConflict>& conflicts) {
  Json list = Json::array();
  for (const KeyConflict& conflict : conflicts) {
    list.push_back({{"item", conflict.item},
                    {"key", conflict.key},
                    {"base", conflict.base},
                    {"winner", conflict.winner},
                    {"loser", conflict.loser}});
  }
  return list;
}

void ReadErrors(ObjectReader& reader, std::vector<NoteError>& errors) {
  reader.ReadEach("faults", Presence::kOptional,
                  [&](const Json& json, const std::string& path) {
                    ObjectReader member(json, path, reader.errors());
                    NoteError error;
                    member.Read("section", Presence::kOptional, error.section);
                    member.Read("key", Presence::kRequired, error.key);
                    member.Read("message", Presence::kRequired, error.message);
                    errors.push_back(std::move(error));
                  });
}

void ReadConflicts(ObjectReader& reader, std::vector<KeyConflict>& conflicts) {
  reader.ReadEach("conflicts", Presence::kOptional,
                  [&](const Json& json, const std::string& path) {
                    ObjectReader member(json, path, reader.errors());
                    KeyConflict conflict;
                    member.Read("item", Presence::kRequired, conflict.item);
                    member.Read("key", Presence::kRequired, conflict.key);
                    member.Read("base", Presence::kOptional, conflict.base);
                    member.Read("winner", Presence::kOptional, conflict.winner);
                    member.Read("loser", Presence::kOptional, conflict.loser);
                    conflicts.push_back(std::move(conflict));
                  });
}

}  // namespace

std::string EncodeProblem(const Problem& problem) {
  const Refusal& refusal = problem.refusal;
  const ReasonRow& row = RowOf(kReasons, refusal.reason);
  Json json = {{"type", "about:blank"},
               {"title", row.help},
               {"status", row.http_status},
               {"reason", row.name},
               {"verdict", NameOf(refusal.verdict)}};
  if (!refusal.detail.empty()) json["detail"] = refusal.detail;
  if (refusal.retry_after > Duration::zero()) {
    json["retry_after_ms"] = MillisecondsRoundedUp(refusal.retry_after);
  }
  if (!problem.errors.empty()) json["faults"] = ToJson(problem.errors);
  if (!problem.winner.value.empty()) json["winner"] = problem.winner.value;
  if (!problem.conflicts.empty()) json["conflicts"] = ToJson(problem.conflicts);
  return Dump(json);
}

Parsed<Problem> ParseProblem(std::string_view text) {
  return ParseObject<Problem>(
      text, UnknownMembers::kIgnore,
      [](ObjectReader& reader, Problem& problem) {
        Refusal& refusal = problem.refusal;
        reader.ReadName("reason", Presence::kRequired, kReasons,
                        refusal.reason);
        reader.ReadName("verdict", Presence::kRequired, kVerdictNames,
                        refusal.verdict);
        reader.Read("detail", Presence::kOptional, refusal.detail);
        reader.ReadMilliseconds("retry_after_ms", Presence::kOptional,
                                refusal.retry_after);
        ReadErrors(reader, problem.errors);
        reader.Read("winner", Presence::kOptional, problem.winner.value);
        ReadConflicts(reader, problem.conflicts);
      });
}

}  // namespace jasminespar::codec
