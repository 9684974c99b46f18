#include "jasminespar/configuration/compile.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "configuration/sample.h"
#include "jasminespar/configuration/active_configuration.h"
#include "jasminespar/configuration/conflict.h"
#include "jasminespar/configuration/difference.h"

namespace jasminespar::configuration {
namespace {

std::vector<std::string> ErrorsOf(const Configuration& previous,
                                  const ReleaseNote& note,
                                  const std::vector<CellTopology>& cells) {
  const auto result = Compile(previous, note, cells);
  std::vector<std::string> texts;
  if (const auto* errors = std::get_if<std::vector<NoteError>>(&result)) {
    for (const NoteError& error : *errors) texts.push_back(ToString(error));
  }
  return texts;
}

Service MakeService(const std::string& id) {
  Service service;
  service.id = {id};
  return service;
}

TEST_CASE("an accepted note becomes the next revision") {
  const Configuration previous = MakeConfiguration(
      {MakeAccount("a", {}), MakeAccount("b", {{ShapeLevel::kWorker, 1}})});
  ReleaseNote note = MakeNote({1});
  note.accounts.added = {
      MakeAccount("c", {{ShapeLevel::kQuad, 1}, {ShapeLevel::kPair, 2}})};
  note.accounts.withdrawn = {{"b"}};
  note.services.added = {MakeService("matching")};
  const auto result = Compile(previous, note, MakeCells(1, 1, 1));
  REQUIRE(std::holds_alternative<Configuration>(result));
  const auto& next = std::get<Configuration>(result);
  CHECK(next.revision == Revision{2});
  CHECK(next.accounts.size() == 2);
  CHECK(next.accounts.at({"c"}).guarantees[0].level == ShapeLevel::kPair);
  CHECK(next.services.contains({"matching"}));
}

TEST_CASE("all faults of a note are reported at once") {
  const Configuration previous = MakeConfiguration({MakeAccount("a", {})});
  ReleaseNote note = MakeNote({7});
  note.title = "two\nlines";
  note.accounts.added = {
      MakeAccount("a", {}), MakeAccount("no good", {}),
      MakeAccount("d", {{ShapeLevel::kPair, 1}, {ShapeLevel::kPair, 1}})};
  note.accounts.added[0].weight = 0;
  note.accounts.changed = {MakeAccount("x", {})};
  note.accounts.withdrawn = {{"y"}, {"a"}};
  note.services.added = {MakeService("s")};
  note.services.added[0].data_centres = {{"nowhere"}};
  note.services.added[0].default_deadline = 48h;
  const std::vector<std::string> expected = {
      "[note] base: 7 is not the revision in force; allowed: 1",
      "[note] title: too long or not printable; allowed: up to 200 bytes",
      "[add account a] exists already",
      "[add account a] weight: out of range; allowed: 0.001 to 1000",
      "[add account no good] not a valid name; allowed: 1 to 64 letters, "
      "digits, '.', '_' or '-'.",
      "[change account x] does not exist",
      "[withdraw account y] does not exist",
      "[withdraw account a] the note names it more than once",
      "[add service s] default_deadline: out of range; allowed: 1ms to 24h in "
      "whole milliseconds",
      "[add service s] data_centres: no workers are listed in data centre "
      "nowhere",
      "[add account d] guarantee.pair: given more than once"};
  CHECK(ErrorsOf(previous, note, MakeCells(1, 1, 1)) == expected);
}

TEST_CASE("a guarantee must fit beside all others") {
  const std::vector<CellTopology> cells = MakeCells(1, 2, 2);
  const Configuration previous =
      MakeConfiguration({MakeAccount("a", {{ShapeLevel::kAccelerator, 1}})});
  ReleaseNote note = MakeNote({1});
  note.accounts.added = {MakeAccount("b", {{ShapeLevel::kRack, 1}})};
  CHECK(ErrorsOf(previous, note, cells).empty());
  // The guaranteed accelerator of "a" leaves only one of two racks whole.
  note.accounts.added = {MakeAccount("b", {{ShapeLevel::kRack, 2}})};
  CHECK(ErrorsOf(previous, note, cells) ==
        std::vector<std::string>{
            "[account a] guarantee.accelerator: the live workers cannot hold "
            "1 of the shapes beside all other guarantees"});
}

TEST_CASE("notes that raise no guarantee compile while workers are broken") {
  std::vector<CellTopology> cells = MakeCells(1, 1, 2);
  const Configuration previous =
      MakeConfiguration({MakeAccount("a", {{ShapeLevel::kWorker, 2}})});
  cells[0].workers[0].state = MachineState::kGone;
  ReleaseNote note = MakeNote({1});
  note.accounts.changed = {MakeAccount("a", {{ShapeLevel::kWorker, 2}})};
  note.accounts.changed[0].weight = 3;
  note.accounts.added = {MakeAccount("b", {})};
  CHECK(ErrorsOf(previous, note, cells).empty());
  note.accounts.added = {MakeAccount("b", {{ShapeLevel::kAccelerator, 1}})};
  CHECK(ErrorsOf(previous, note, cells).size() == 2);
}

TEST_CASE("a difference lists each changed key with both values") {
  const Configuration before = MakeConfiguration({MakeAccount("a", {})});
  ReleaseNote note = MakeNote({1});
  note.accounts.changed = {MakeAccount("a", {{ShapeLevel::kQuad, 3}})};
  note.services.added = {MakeService("s")};
  const auto differences = FindDifferences(before, *Apply(before, note));
  REQUIRE(differences.size() == 5);  // "exists" and three keys of s.
  CHECK(differences[0] ==
        KeyDifference{"account a", "guarantee.quad", "0", "3"});
  CHECK(differences[1].key == "answer_retention");
  CHECK(differences[1].after == "10min");
  CHECK(FindDifferences(before, before).empty());
}

TEST_CASE("a conflict names the account and the key") {
  const Configuration base =
      MakeConfiguration({MakeAccount("a", {}), MakeAccount("b", {})});
  ReleaseNote winner = MakeNote({1});
  winner.accounts.changed = {MakeAccount("a", {{ShapeLevel::kQuad, 3}})};
  ReleaseNote loser = MakeNote({1});
  loser.accounts.changed = {MakeAccount("a", {{ShapeLevel::kQuad, 5}}),
                            MakeAccount("b", {{ShapeLevel::kQuad, 5}})};
  const auto conflicts = FindConflicts(base, winner, loser);
  REQUIRE(conflicts.size() == 1);
  CHECK(conflicts[0] ==
        KeyConflict{"account a", "guarantee.quad", "0", "3", "5"});
  loser.accounts.changed.erase(loser.accounts.changed.begin());
  CHECK(FindConflicts(base, winner, loser).empty());
}

TEST_CASE("two notes that add the same account conflict") {
  const Configuration base = MakeConfiguration({});
  ReleaseNote note = MakeNote({1});
  note.accounts.added = {MakeAccount("a", {})};
  const auto conflicts = FindConflicts(base, note, note);
  REQUIRE(conflicts.size() == 1);
  CHECK(conflicts[0].key == "exists");
}

/// Applies revisions in random order, with repetitions.
/// @return whether the revision in force ever decreased.
bool RevisionDecreases(RevisionRule rule, unsigned seed) {
  std::mt19937 random(seed);
  ActiveConfiguration active(rule);
  Revision highest;
  for (int i = 0; i < 1'000; ++i) {
    Configuration offered = MakeConfiguration({});
    offered.revision = {1 + random() % 50};
    if (random() % 2 == 0) {
      static_cast<void>(active.Apply(offered));
    } else {
      static_cast<void>(active.Apply(MakeNote(offered.revision)));
    }
    if (active.revision() < highest) return true;
    highest = active.revision();
  }
  return false;
}

TEST_CASE("the revision in force never decreases") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    CHECK_FALSE(RevisionDecreases(RevisionRule::kOnlyHigher, seed));
  }
}

TEST_CASE("mutation: applying any revision is detected") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CHECK(RevisionDecreases(RevisionRule::kApplyAny, seed));
  }
}

TEST_CASE("a note above the next revision reports a gap") {
  ActiveConfiguration active;
  CHECK(std::holds_alternative<RevisionGap>(active.Apply(MakeNote({3}))));
  static_cast<void>(active.Apply(MakeConfiguration({})));
  CHECK(active.behind());
  CHECK(std::holds_alternative<RevisionGap>(active.Apply(MakeNote({3}))));
  CHECK(std::holds_alternative<RevisionApplied>(active.Apply(MakeNote({1}))));
  CHECK(std::holds_alternative<RevisionIgnored>(active.Apply(MakeNote({1}))));
  CHECK(active.revision() == Revision{2});
}

}  // namespace
}  // namespace jasminespar::configuration
