// The path that requests to the table take while the direct one fails.
#include "jasminespar/site/table_path.h"

#include <catch2/catch.hpp>

namespace jasminespar::site {
namespace {

constexpr TimePoint kStart(1h);

TEST_CASE("requests take the direct path while the table serves them") {
  TablePathChooser chooser;
  chooser.RecordDirectOutcome(RowPage{}, kStart);
  CHECK(chooser.Choose(Transaction{}, true, kStart) == TablePath::kDirect);
  CHECK_FALSE(chooser.direct_path_down(kStart + 10s));
}

TEST_CASE("after a failure, requests go through a peer and watches probe") {
  TablePathChooser chooser;
  chooser.RecordDirectOutcome(Refused{503}, kStart);
  CHECK(chooser.Choose(Transaction{}, true, kStart) == TablePath::kThroughPeer);
  CHECK(chooser.Choose(Watch{}, true, kStart) == TablePath::kDirect);
  CHECK(chooser.Choose(Watch{}, true, kStart + 100ms) ==
        TablePath::kThroughPeer);
  CHECK(chooser.Choose(Watch{}, true, kStart + 1s) == TablePath::kDirect);
  CHECK(chooser.Choose(Transaction{}, false, kStart) == TablePath::kDirect);
}

TEST_CASE("the direct path is down after failing for a while, not at once") {
  TablePathChooser chooser;
  chooser.RecordDirectOutcome(NoAnswer{}, kStart);
  CHECK_FALSE(chooser.direct_path_down(kStart + 400ms));
  chooser.RecordDirectOutcome(NoAnswer{}, kStart + 450ms);
  CHECK(chooser.direct_path_down(kStart + 600ms));
  chooser.RecordDirectOutcome(Conflict{}, kStart + 700ms);
  CHECK_FALSE(chooser.direct_path_down(kStart + 2s));
}

}  // namespace
}  // namespace jasminespar::site
