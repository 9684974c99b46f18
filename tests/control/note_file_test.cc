#include "jasminespar/control/note_file.h"

#include <catch2/catch.hpp>

namespace jasminespar::control {
namespace {

using configuration::Configuration;
using configuration::Guarantee;
using configuration::ShapeLevel;

Configuration Base() {
  Configuration base;
  base.revision = {41};
  configuration::ClientAccount school;
  school.id = {"school"};
  school.weight = 2;
  school.guarantees = {{ShapeLevel::kPair, 3}, {ShapeLevel::kWorker, 1}};
  base.accounts[school.id] = school;
  return base;
}

std::vector<std::string> ErrorsOf(const std::string& text) {
  const auto parsed = ParseNoteFile(text, "n.ini", Base());
  std::vector<std::string> texts;
  if (parsed.index() == 1) {
    for (const auto& error : std::get<1>(parsed)) {
      texts.push_back(ToString(error));
    }
  }
  return texts;
}

TEST_CASE("a change keeps values that the file does not name") {
  const auto parsed = ParseNoteFile(
      "[note]\ntitle = Enrolment\n"
      "[change account school]\nguarantee.worker = 4\n"
      "[add account agency]\nweight = 0.5\n"
      "[withdraw account old]\n"
      "[add service matching]\ndefault_deadline = 90s\n"
      "data_centres = dc-a, dc-b\n",
      "n.ini", Base());
  REQUIRE(std::holds_alternative<NoteFile>(parsed));
  const auto& note = std::get<NoteFile>(parsed).note;
  CHECK(note.base == Revision{41});
  CHECK(note.title == "Enrolment");
  REQUIRE(note.accounts.changed.size() == 1);
  CHECK(note.accounts.changed[0].weight == 2);
  CHECK(
      note.accounts.changed[0].guarantees ==
      std::vector<Guarantee>{{ShapeLevel::kPair, 3}, {ShapeLevel::kWorker, 4}});
  CHECK(note.accounts.added.at(0).weight == 0.5);
  CHECK(note.accounts.withdrawn.at(0).value == "old");
  CHECK(note.services.added.at(0).default_deadline == 90s);
  CHECK(note.services.added.at(0).data_centres.size() == 2);
}

TEST_CASE("the same text is the same note") {
  const auto id_of = [](const std::string& text) {
    return std::get<NoteFile>(ParseNoteFile(text, "n.ini", Base())).note.id;
  };
  CHECK(id_of("[add account a]\n") == id_of("[add account a]\n"));
  CHECK(id_of("[add account a]\n") != id_of("[add account b]\n"));
  CHECK(id_of("[note]\nid = n-7\n").value == "n-7");
}

TEST_CASE("faults of a note file name line, key and allowed values") {
  const std::vector<std::string> expected = {
      "n.ini:1: early: stands before any section; allowed: [note], or add, "
      "change or withdraw, then account or service, then a name",
      "n.ini:3: [note] base: not a valid value: 40; allowed: the revision in "
      "force, 41",
      "n.ini:4: [note] titel: unknown key; allowed: id, base, title",
      "n.ini:6: [add account a] guarantee.pair: not a valid value: -1; "
      "allowed: 0 to 100000",
      "n.ini:7: [add account a] weight: not a valid value: 2000; allowed: "
      "0.001 to 1000",
      "n.ini:8: [add account a] weight: already set in line 7",
      "n.ini:10: [withdraw account b] weight: a withdrawal takes no keys",
      "n.ini:11: [add account a] the section already began in line 5",
      "n.ini:12: [remove account c] unknown section; allowed: [note], or add, "
      "change or "
      "withdraw, then account or service, then a name"};
  CHECK(ErrorsOf("early = 1\n"
                 "[note]\nbase = 40\ntitel = x\n"
                 "[add account a]\nguarantee.pair = -1\nweight = 2000\n"
                 "weight = 1\n[withdraw account b]\nweight = 1\n"
                 "[add account a]\n[remove account c]\n") == expected);
}

TEST_CASE("a fault of the compile step is located in the file") {
  const auto parsed = ParseNoteFile(
      "[add account a]\nweight = 1\nguarantee.rack = 9\n", "n.ini", Base());
  const auto& file = std::get<NoteFile>(parsed);
  CHECK(Locate(file, {"add account a", "", "exists already"}).line == 1);
  CHECK(Locate(file, {"account a", "guarantee.rack", "x"}).line == 3);
  CHECK(Locate(file, {"account a", "guarantee.pair", "x"}).line == 1);
  CHECK(Locate(file, {"account z", "guarantee.pair", "x"}).line == 0);
}

}  // namespace
}  // namespace jasminespar::control
