// Which way requests to the table take while the straight one fails.
#include "jasminespar/site/table_path.h"

#include <catch2/catch.hpp>

namespace jasminespar::site {
namespace {

constexpr TimePoint kStart(1h);

TEST_CASE("requests go straight while the table serves them") {
  TablePathChooser chooser;
  chooser.SeeStraight(RowPage{}, kStart);
  CHECK(chooser.Choose(Transaction{}, true, kStart) == TablePath::kDirect);
  CHECK_FALSE(chooser.lost(kStart + 10s));
}

TEST_CASE("after a failure, requests go through a peer and watches probe") {
  TablePathChooser chooser;
  chooser.SeeStraight(Refused{503}, kStart);
  CHECK(chooser.Choose(Transaction{}, true, kStart) == TablePath::kThroughPeer);
  CHECK(chooser.Choose(Watch{}, true, kStart) == TablePath::kDirect);
  CHECK(chooser.Choose(Watch{}, true, kStart + 100ms) ==
        TablePath::kThroughPeer);
  CHECK(chooser.Choose(Watch{}, true, kStart + 1s) == TablePath::kDirect);
  CHECK(chooser.Choose(Transaction{}, false, kStart) == TablePath::kDirect);
}

TEST_CASE("a way counts as lost after failing for a while, not at once") {
  TablePathChooser chooser;
  chooser.SeeStraight(NoAnswer{}, kStart);
  CHECK_FALSE(chooser.lost(kStart + 400ms));
  chooser.SeeStraight(NoAnswer{}, kStart + 450ms);
  CHECK(chooser.lost(kStart + 600ms));
  chooser.SeeStraight(Conflict{}, kStart + 700ms);
  CHECK_FALSE(chooser.lost(kStart + 2s));
}

}  // namespace
}  // namespace jasminespar::site
