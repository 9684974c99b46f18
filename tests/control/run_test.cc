#include "jasminespar/control/run.h"

#include <catch2/catch.hpp>
#include <map>
#include <sstream>

#include "jasminespar/codec/call_json.h"
#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/codec/problem_json.h"
#include "jasminespar/control/text_table.h"

namespace jasminespar::control {
namespace {

constexpr const char* kId = "0123456789abcdef0123456789abcdef";

/// Returns the answer set for "METHOD target" and records the requests.
struct FakeSite {
  std::map<std::string, ExchangeResult> answers;
  std::vector<http::Request> requests;
  std::string file = "[add account a]\nweight = 2\n";
  std::ostringstream out;
  std::ostringstream err;

  ExitCode Run(std::vector<std::string> words) {
    words.insert(words.begin(), {"jasminectl", "-s", "127.0.0.1:1"});
    const auto line = ParseCommandLine(words);
    if (const auto* error = std::get_if<UsageError>(&line)) {
      err << error->message;
      return ExitCode::kUsage;
    }
    Environment environment{
        [this](const http::Request& request) {
          requests.push_back(request);
          return answers.at(request.method + " " + request.target);
        },
        [this](const std::string&) { return file; }, out, err};
    return control::Run(std::get<CommandLine>(line), environment);
  }
};

http::Response Respond(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

http::Response Refuse(const codec::Problem& problem) {
  http::Response response = Respond(HttpStatusOf(problem.refusal.reason),
                                    codec::EncodeProblem(problem));
  response.headers.push_back(
      {"Content-Type", std::string(codec::kProblemMediaType)});
  return response;
}

FakeSite SiteWithConfiguration() {
  FakeSite site;
  configuration::Configuration configuration;
  configuration.revision = {41};
  configuration.accounts[{"school"}].id = {"school"};
  site.answers["GET /v1/configuration"] =
      Respond(200, codec::EncodeConfiguration(configuration));
  return site;
}

TEST_CASE("apply sends the note of the file and prints its revision") {
  FakeSite site = SiteWithConfiguration();
  site.answers["POST /v1/release-notes"] =
      Respond(200, codec::EncodeRevision({42}));
  CHECK(site.Run({"apply", "n.ini"}) == ExitCode::kDone);
  CHECK(site.out.str() == "accepted: revision 42\n");
  const auto sent = codec::ParseNote(site.requests.back().body);
  REQUIRE(sent.index() == 0);
  CHECK(std::get<0>(sent).base == Revision{41});
  CHECK(std::get<0>(sent).accounts.added.at(0).weight == 2);
}

TEST_CASE("a note that does not compile is reported with its lines") {
  FakeSite site = SiteWithConfiguration();
  codec::Problem problem;
  problem.refusal.reason = Reason::kInvalidNote;
  problem.errors = {{"add account a", "weight", "out of range"}};
  site.answers["POST /v1/release-notes?check=true"] = Refuse(problem);
  CHECK(site.Run({"check", "n.ini"}) == ExitCode::kInvalidNote);
  CHECK(site.err.str().find("n.ini:2: [add account a] weight: out of range") ==
        0);
}

TEST_CASE("a conflict names account, key and the accepted note") {
  FakeSite site = SiteWithConfiguration();
  codec::Problem problem;
  problem.refusal.reason = Reason::kRevisionConflict;
  problem.winner = {"n-2"};
  problem.conflicts = {{"account a", "weight", "", "3", "2"}};
  site.answers["POST /v1/release-notes"] = Refuse(problem);
  CHECK(site.Run({"apply", "n.ini"}) == ExitCode::kConflict);
  CHECK(site.err.str().find("note n-2") != std::string::npos);
  CHECK(site.err.str().find("account a weight: was , accepted 3, yours 2") !=
        std::string::npos);
}

TEST_CASE("after a lost answer the history shows the outcome of the note") {
  FakeSite site = SiteWithConfiguration();
  site.answers["POST /v1/release-notes"] = NoAnswer{Verdict::kMayHaveRun, ""};
  const std::string history = "GET /v1/release-notes?after=41";
  site.answers[history] = Respond(200, codec::EncodeNotes({}));
  CHECK(site.Run({"apply", "n.ini"}) == ExitCode::kUnknownOutcome);
  auto note = std::get<0>(codec::ParseNote(site.requests[1].body));
  site.answers[history] = Respond(200, codec::EncodeNotes({note}));
  CHECK(site.Run({"apply", "n.ini"}) == ExitCode::kDone);
  CHECK(site.out.str() == "accepted: revision 42\n");
  note.id = {"other"};
  site.answers[history] = Respond(200, codec::EncodeNotes({note}));
  CHECK(site.Run({"apply", "n.ini"}) == ExitCode::kConflict);
}

TEST_CASE("a note that changes nothing is not sent again") {
  FakeSite site = SiteWithConfiguration();
  site.file = "[change account school]\nweight = 1\n";
  CHECK(site.Run({"apply", "n.ini"}) == ExitCode::kDone);
  CHECK(site.requests.size() == 1);
}

TEST_CASE("a file with faults is never sent") {
  FakeSite site = SiteWithConfiguration();
  site.file = "[add account a]\nwight = 2\n";
  CHECK(site.Run({"apply", "n.ini"}) == ExitCode::kLocalFault);
  CHECK(site.requests.size() == 1);
}

TEST_CASE("diff shows each key with both values") {
  FakeSite site = SiteWithConfiguration();
  site.file = "[change account school]\nweight = 3\n";
  CHECK(site.Run({"diff", "n.ini"}) == ExitCode::kDone);
  CHECK(site.out.str() ==
        "item            key     before  after\n"
        "account school  weight  1       3\n");
}

TEST_CASE("show and history print tables") {
  FakeSite site = SiteWithConfiguration();
  CHECK(site.Run({"show"}) == ExitCode::kDone);
  CHECK(site.out.str().find("revision 41\n\naccount  weight") == 0);
  configuration::ReleaseNote note;
  note.id = {"n-1"};
  note.base = {4};
  note.title = "x";
  site.answers["GET /v1/release-notes?after=3"] =
      Respond(200, codec::EncodeNotes({note}));
  CHECK(site.Run({"history", "--after", "3"}) == ExitCode::kDone);
  CHECK(site.out.str().find("5         n-1   +0 ~0 -0 / +0 ~0 -0  x\n") !=
        std::string::npos);
}

TEST_CASE("a call carries its key and its gang and prints the answer") {
  FakeSite site;
  site.answers["POST /v1/services/matching/calls"] = Respond(200, "offer");
  CHECK(site.Run({"call", "matching", "-a", "school", "-k", "k1", "--body", "b",
                  "--accelerators", "8", "--adjacency", "worker", "--once",
                  "--deadline", "90s"}) == ExitCode::kDone);
  CHECK(site.out.str() == "offer");
  const auto& headers = site.requests.at(0).headers;
  CHECK(http::HeaderOf(headers, "Idempotency-Key") == "k1");
  CHECK(http::HeaderOf(headers, "Jasminespar-Idempotent") == "false");
  CHECK(http::HeaderOf(headers, "Jasminespar-Accelerators") == "8");
  CHECK(http::HeaderOf(headers, "Jasminespar-Deadline-Ms") == "90000");
}

TEST_CASE("exit codes show what is known about the run") {
  FakeSite site;
  const std::string get = std::string("GET /v1/calls/") + kId;
  const std::vector<std::string> status = {"status", kId, "-a", "school"};
  site.answers[get] =
      Refuse({{Reason::kQueueFull, Verdict::kNotRun, 1s, ""}, {}, {}, {}});
  CHECK(site.Run(status) == ExitCode::kRefused);
  site.answers[get] =
      Refuse({{Reason::kWorkerLost, Verdict::kMayHaveRun, 0s, ""}, {}, {}, {}});
  CHECK(site.Run(status) == ExitCode::kUnknownOutcome);
  site.answers[get] = NoAnswer{Verdict::kNotRun, ""};
  CHECK(site.Run(status) == ExitCode::kRefused);
  site.answers[get] = NoAnswer{Verdict::kMayHaveRun, ""};
  CHECK(site.Run(status) == ExitCode::kUnknownOutcome);
  http::Response answer = Respond(418, "teapot");
  answer.headers.push_back({"Jasminespar-Call", kId});
  site.answers[get] = answer;
  CHECK(site.Run(status) == ExitCode::kEndpointError);
  site.answers[get] = Respond(
      202, codec::EncodeCallStatus(
               {*ParseCallId(kId), cell::CallState::kQueued, {0}, "busy"}));
  CHECK(site.Run(status) == ExitCode::kNotEnded);
  CHECK(site.Run({"explain", kId, "-a", "school"}) == ExitCode::kNotEnded);
  CHECK(site.out.str().find("queued: busy\n") != std::string::npos);
}

TEST_CASE("an intermediary's error is not taken for the endpoint's answer") {
  FakeSite site;
  site.answers[std::string("GET /v1/calls/") + kId] =
      Respond(502, "bad gateway");
  CHECK(site.Run({"status", kId, "-a", "school"}) == ExitCode::kUnknownOutcome);
}

TEST_CASE("an invalid command line is a usage fault") {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"dance"},
      {"apply"},
      {"show", "me"},
      {"status", "xyz", "-a", "a"},
      {"status", kId},
      {"call", "s", "-a", "a"},
      {"call", "s/../x", "-a", "a", "-k", "k"},
      {"call", "s", "-a", "a\r\nX: y", "-k", "k"},
      {"call", "s", "-a", "a", "-k", "k", "--accelerators", "65"},
      {"show", "--output", "xml"},
      {"show", "--server", "localhost"},
      {"show", "--unknown"}};
  for (const auto& words : wrong) {
    FakeSite site;
    CHECK(site.Run(words) == ExitCode::kUsage);
    CHECK(site.requests.empty());
  }
}

TEST_CASE(
    "a list of any objects is formatted as a table that is safe to print") {
  CHECK(
      TableOfJson(R"({"cells": [{"b": 1, "id": "x"}, {"id": "\u001b[2J"}]})") ==
      "id    b\nx     1\n?[2J  \n");
  CHECK(TableOfJson("junk") == "junk\n");
}

TEST_CASE("servers are tried in turn until one answers") {
  const Exchange exchange =
      MakeExchange({{"127.0.0.1", 1}, {"127.0.0.1", 2}}, 500ms);
  const ExchangeResult result = exchange(http::Request{});
  REQUIRE(std::holds_alternative<NoAnswer>(result));
  CHECK(std::get<NoAnswer>(result).verdict == Verdict::kNotRun);
  CHECK(std::get<NoAnswer>(result).detail.find("127.0.0.1:2: ") !=
        std::string::npos);
}

}  // namespace
}  // namespace jasminespar::control
