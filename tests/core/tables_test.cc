#include <catch2/catch.hpp>
#include <set>

#include "jasminespar/core/call.h"

namespace jasminespar {
namespace {

TEST_CASE("each reason has a unique name, a message and an error status") {
  std::set<std::string_view> names;
  for (const ReasonRow& row : kReasons) {
    CHECK(names.insert(row.name).second);
    CHECK_FALSE(row.help.empty());
    CHECK(row.http_status >= 400);
    CHECK(row.http_status <= 599);
    CHECK(ParseName(kReasons, row.name) == row.value);
  }
}

TEST_CASE("ParseName returns nothing for an unknown name") {
  CHECK_FALSE(ParseName(kVerdictNames, "perhaps").has_value());
}

TEST_CASE("CombineVerdicts returns the greater verdict") {
  CHECK(CombineVerdicts(Verdict::kNotRun, Verdict::kMayHaveRun) ==
        Verdict::kMayHaveRun);
  CHECK(CombineVerdicts(Verdict::kRan, Verdict::kNotRun) == Verdict::kRan);
}

TEST_CASE("a call id round-trips through its text form") {
  const CallId id = IdOf({{"school"}, {"matching"}, "k-1"});
  CHECK(ParseCallId(ToString(id)) == id);
  CHECK_FALSE(ParseCallId("xyz").has_value());
  CHECK_FALSE(ParseCallId(ToString(id) + "0").has_value());
}

TEST_CASE("keys with equal concatenations have different ids") {
  CHECK(IdOf({{"ab"}, {"c"}, "d"}) != IdOf({{"a"}, {"bc"}, "d"}));
  CHECK(IdOf({{"a"}, {"b"}, "cd"}) != IdOf({{"a"}, {"bc"}, "d"}));
}

}  // namespace
}  // namespace jasminespar
