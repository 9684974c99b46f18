// What the answer to a watch shows about the watched table.
#include "jasminespar/site/watch_progress.h"

#include <catch2/catch.hpp>

namespace jasminespar::site {
namespace {

constexpr TimePoint kSentAt{1h};
constexpr Duration kWait = 400ms;

TEST_CASE("a watch without changes is current to the end of its wait") {
  CHECK(CurrentAsOf(RowPage{}, kSentAt, kWait) == kSentAt + kWait);
}

TEST_CASE("a watch with changes is current as of its request") {
  RowPage page;
  page.rows.emplace_back();
  CHECK(CurrentAsOf(page, kSentAt, kWait) == kSentAt);
}

// Guards against starts on workers that had been leaving for seconds: a list
// that changes faster than pages are read is behind.
TEST_CASE("a watch is not current after a full page") {
  RowPage page;
  page.rows.resize(500);
  page.has_more = true;
  CHECK_FALSE(CurrentAsOf(page, kSentAt, kWait).has_value());
}

}  // namespace
}  // namespace jasminespar::site
