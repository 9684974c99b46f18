#include <catch2/catch.hpp>
#include <set>

#include "jasminespar/core/call.h"

namespace jasminespar {
namespace {

TEST_CASE("every reason has its own name, a message and an error status") {
  std::set<std::string_view> names;
  for (const ReasonRow& row : kReasons) {
    CHECK(names.insert(row.name).second);
    CHECK_FALSE(row.help.empty());
    CHECK(row.http_status >= 400);
    CHECK(row.http_status <= 599);
    CHECK(ParseName(kReasons, row.name) == row.value);
  }
}

TEST_CASE("an unknown name parses to nothing") {
  CHECK_FALSE(ParseName(kVerdictNames, "perhaps").has_value());
}

TEST_CASE("joining verdicts keeps the one that saw more") {
  CHECK(CombineVerdicts(Verdict::kNotRun, Verdict::kMayHaveRun) ==
        Verdict::kMayHaveRun);
  CHECK(CombineVerdicts(Verdict::kRan, Verdict::kNotRun) == Verdict::kRan);
}

TEST_CASE("a call id survives its text form") {
  const CallId id = IdOf({{"school"}, {"matching"}, "k-1"});
  CHECK(ParseCallId(ToString(id)) == id);
  CHECK_FALSE(ParseCallId("xyz").has_value());
  CHECK_FALSE(ParseCallId(ToString(id) + "0").has_value());
}

TEST_CASE("keys that only concatenate alike have different ids") {
  CHECK(IdOf({{"ab"}, {"c"}, "d"}) != IdOf({{"a"}, {"bc"}, "d"}));
  CHECK(IdOf({{"a"}, {"b"}, "cd"}) != IdOf({{"a"}, {"bc"}, "d"}));
}

}  // namespace
}  // namespace jasminespar
