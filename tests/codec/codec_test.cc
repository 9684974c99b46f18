#include <catch2/catch.hpp>
#include <random>

#include "jasminespar/codec/call_json.h"
#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/codec/problem_json.h"

namespace jasminespar::codec {
namespace {

using configuration::ClientAccount;
using configuration::Configuration;
using configuration::ReleaseNote;
using configuration::Service;
using configuration::ShapeLevel;

ClientAccount SampleAccount() {
  ClientAccount account;
  account.id = {"school"};
  account.weight = 0.1;
  account.guarantees = {{ShapeLevel::kPair, 3}, {ShapeLevel::kRack, 1}};
  return account;
}

Service SampleService() {
  Service service;
  service.id = {"matching"};
  service.default_deadline = 1500ms;
  service.data_centres = {{"dc-a"}, {"dc-b"}};
  return service;
}

ReleaseNote SampleNote() {
  ReleaseNote note;
  note.id = {"n-1"};
  note.base = {41};
  note.title = "Enrolment \"opens\" \xc3\xa9";
  note.accounts.added = {SampleAccount()};
  note.accounts.changed = {SampleAccount()};
  note.accounts.withdrawn = {{"old"}};
  note.services.added = {SampleService()};
  note.services.withdrawn = {{"old"}};
  return note;
}

Configuration SampleConfiguration() {
  Configuration configuration;
  configuration.revision = {7};
  configuration.accounts[{"school"}] = SampleAccount();
  configuration.services[{"matching"}] = SampleService();
  return configuration;
}

Problem SampleProblem() {
  Problem problem;
  problem.refusal = {Reason::kRevisionConflict, Verdict::kNotRun, 250ms, "x"};
  problem.errors = {{"add account a", "weight", "out of range"}};
  problem.winner = {"n-2"};
  problem.conflicts = {{"account a", "weight", "1", "2", "3"}};
  return problem;
}

CellShares SampleShares() {
  CellShares shares;
  shares[{"dc-a/0"}] = {{7}, {SampleAccount()}};
  shares[{"dc-b/0"}] = {{7}, {}};
  return shares;
}

template <typename Value>
std::vector<ParseError> ErrorsOf(const Parsed<Value>& parsed) {
  const auto* errors = std::get_if<std::vector<ParseError>>(&parsed);
  return errors == nullptr ? std::vector<ParseError>{} : *errors;
}

TEST_CASE("each value round-trips through its JSON encoding") {
  CHECK(ParseNote(EncodeNote(SampleNote())) ==
        Parsed<ReleaseNote>(SampleNote()));
  const std::vector<ReleaseNote> notes = {SampleNote(), SampleNote()};
  CHECK(ParseNotes(EncodeNotes(notes)) ==
        Parsed<std::vector<ReleaseNote>>(notes));
  CHECK(ParseConfiguration(EncodeConfiguration(SampleConfiguration())) ==
        Parsed<Configuration>(SampleConfiguration()));
  CHECK(ParseShares(EncodeShares(SampleShares())) ==
        Parsed<CellShares>(SampleShares()));
  CHECK(ParseProblem(EncodeProblem(SampleProblem())) ==
        Parsed<Problem>(SampleProblem()));
  CHECK(ParseRevision(EncodeRevision({9})) == Parsed<Revision>(Revision{9}));
  const cell::CallStatus status{{1, 2}, cell::CallState::kRunning, {2}, "why"};
  const auto parsed = ParseCallStatus(EncodeCallStatus(status));
  REQUIRE(std::holds_alternative<cell::CallStatus>(parsed));
  CHECK(std::get<cell::CallStatus>(parsed).id == status.id);
  CHECK(std::get<cell::CallStatus>(parsed).state == status.state);
}

TEST_CASE("all faults of a text are reported together, with their paths") {
  const std::vector<ParseError> expected = {
      {"base", "not a whole number from 0 to 18446744073709551614"},
      {"accounts.added[0].id", "missing"},
      {"accounts.added[0].weight", "not a number"},
      {"accounts.added[0].guarantees[0].level", "not one of the known names"},
      {"accounts.added[0].guarantees[0].count",
       "not a whole number from 0 to 4294967295"},
      {"accounts.withdrawn[1]", "not a string"},
      {"services", "not an object"},
      {"titel", "unknown member"}};
  CHECK(ErrorsOf(ParseNote(
            R"({"id": "n", "base": -1, "titel": "t", "services": 3,
                "accounts": {"withdrawn": ["a", 2], "added": [{"weight": "1",
                "guarantees": [{"level": "row", "count": 1.5}]}]}})")) ==
        expected);
}

TEST_CASE("unknown members are rejected or ignored as the caller asks") {
  const std::string text = R"({"id": "n", "base": 1, "newer": {"x": 1}})";
  CHECK(ErrorsOf(ParseNote(text)).size() == 1);
  CHECK(ErrorsOf(ParseNote(text, UnknownMembers::kIgnore)).empty());
}

TEST_CASE("a problem contains its status, reason and verdict") {
  const std::string text = EncodeProblem(
      {{Reason::kQueueFull, Verdict::kNotRun, 1us, ""}, {}, {}, {}});
  CHECK(text.find(R"("reason":"queue_full")") != std::string::npos);
  CHECK(text.find(R"("status":503)") != std::string::npos);
  CHECK(text.find(R"("verdict":"not_run")") != std::string::npos);
  CHECK(text.find(R"("retry_after_ms":1)") != std::string::npos);
}

TEST_CASE("invalid UTF-8 is replaced in the encoding") {
  ReleaseNote note = SampleNote();
  note.title = "\xff\xfe";
  CHECK(ErrorsOf(ParseNote(EncodeNote(note))).empty());
}

TEST_CASE("deep nesting is reported as a fault") {
  const std::string deep(200'000, '[');
  CHECK(ErrorsOf(ParseNote(deep)).at(0).message == "not JSON");
  const std::string closed = deep + std::string(200'000, ']');
  CHECK(ErrorsOf(ParseConfiguration(closed)).at(0).message == "not an object");
}

/// Makes 1 to 4 random changes: overwrites a byte, or erases, copies or
/// replaces a short piece of the text.
std::string Mutate(std::string text, std::mt19937& random) {
  static constexpr std::string_view kTokens[] = {
      "-1", "1e999", "null", "\"\"", "[]", "{}", "4294967296", "true", ","};
  const int changes = 1 + static_cast<int>(random() % 4);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    const std::size_t length = random() % 12;
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(random() % text.size(), length));
        break;
      default:
        text.replace(at, length, kTokens[random() % std::size(kTokens)]);
        break;
    }
  }
  return text;
}

/// Parses mutated texts; the values of those that parse must round-trip.
/// @return the number of texts that parsed.
template <typename Encode, typename Parse>
int Fuzz(const std::string& text, Encode encode, Parse parse, unsigned seed) {
  std::mt19937 random(seed);
  int valid = 0;
  for (int i = 0; i < 20'000; ++i) {
    const auto parsed = parse(Mutate(text, random));
    if (parsed.index() != 0) {
      REQUIRE_FALSE(std::get<1>(parsed).empty());
      continue;
    }
    ++valid;
    REQUIRE(parse(encode(std::get<0>(parsed))) == parsed);
  }
  return valid;
}

TEST_CASE("mutated texts are parsed or rejected without an exception") {
  const auto parse_note = [](const std::string& text) {
    return ParseNote(text);
  };
  CHECK(Fuzz(EncodeNote(SampleNote()), EncodeNote, parse_note, 1) > 100);
  CHECK(Fuzz(EncodeConfiguration(SampleConfiguration()), EncodeConfiguration,
             ParseConfiguration, 2) > 100);
  CHECK(Fuzz(EncodeProblem(SampleProblem()), EncodeProblem, ParseProblem, 3) >
        100);
  CHECK(Fuzz(EncodeShares(SampleShares()), EncodeShares, ParseShares, 4) > 100);
}

}  // namespace
}  // namespace jasminespar::codec
