#include "jasminespar/codec/problem_json.h"

#include <utility>

#include "json_reader.h"

namespace jasminespar::codec {

namespace {

using configuration::KeyConflict;
using configuration::NoteFault;

std::int64_t MillisecondsRoundedUp(Duration duration) {
  return ToMilliseconds(duration + 999us);
}

Json ToJson(const std::vector<NoteFault>& faults) {
  Json list = Json::array();
  for (const NoteFault& fault : faults) {
    list.push_back({{"section", fault.section},
                    {"key", fault.key},
                    {"message", fault.message}});
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

void ReadFaults(ObjectReader& reader, std::vector<NoteFault>& faults) {
  reader.ReadEach("faults", Presence::kOptional,
                  [&](const Json& json, const std::string& path) {
                    ObjectReader member(json, path, reader.faults());
                    NoteFault fault;
                    member.Read("section", Presence::kOptional, fault.section);
                    member.Read("key", Presence::kRequired, fault.key);
                    member.Read("message", Presence::kRequired, fault.message);
                    faults.push_back(std::move(fault));
                  });
}

void ReadConflicts(ObjectReader& reader, std::vector<KeyConflict>& conflicts) {
  reader.ReadEach("conflicts", Presence::kOptional,
                  [&](const Json& json, const std::string& path) {
                    ObjectReader member(json, path, reader.faults());
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
  if (!problem.faults.empty()) json["faults"] = ToJson(problem.faults);
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
        ReadFaults(reader, problem.faults);
        reader.Read("winner", Presence::kOptional, problem.winner.value);
        ReadConflicts(reader, problem.conflicts);
      });
}

}  // namespace jasminespar::codec
