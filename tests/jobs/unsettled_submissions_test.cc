// What an instance may say of a job whose first attempt ended unknown.
#include "jasminespar/jobs/unsettled_submissions.h"

#include <catch2/catch.hpp>

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};
const JobId kOther{"00000000000000bb"};
const InstanceId kPeer{"edge-2"};
constexpr TimePoint kNow{1h};

TEST_CASE("an unknown outcome here forbids a later refusal as not run") {
  UnsettledSubmissions submissions;
  submissions.Add(kJob, kNow);
  CHECK(submissions.MayBeStored(kJob, kNow + 1s));
  CHECK_FALSE(submissions.MayBeStored(kOther, kNow + 1s));
  SECTION("until its outcome is known") {
    submissions.Settle(kJob);
    CHECK_FALSE(submissions.MayBeStored(kJob, kNow + 1s));
  }
  SECTION("until the write can no longer be carried out") {
    CHECK_FALSE(submissions.MayBeStored(
        kJob, kNow + UnsettledSubmissions::kLateWriteTimeout));
  }
}

TEST_CASE("an unknown outcome at a peer counts as well") {
  UnsettledSubmissions submissions;
  submissions.HandlePeerReport(kPeer, {kJob}, kNow);
  CHECK(submissions.MayBeStored(kJob, kNow + 1s));
  SECTION("until the peer says that it is settled") {
    submissions.HandlePeerReport(kPeer, {kOther}, kNow + 1s);
    CHECK_FALSE(submissions.MayBeStored(kJob, kNow + 1s));
    CHECK(submissions.MayBeStored(kOther, kNow + 1s));
  }
  SECTION("another peer's word does not settle it") {
    submissions.HandlePeerReport({"edge-3"}, {}, kNow + 1s);
    CHECK(submissions.MayBeStored(kJob, kNow + 1s));
  }
  SECTION("also when the peer has died, for as long as its write may come") {
    CHECK(submissions.MayBeStored(kJob, kNow + 11s));
    CHECK_FALSE(submissions.MayBeStored(
        kJob, kNow + UnsettledSubmissions::kLateWriteTimeout));
  }
}

TEST_CASE("peers are told of the newest submissions, and of few") {
  UnsettledSubmissions submissions;
  for (std::size_t i = 0; i < 2 * UnsettledSubmissions::kMaxTold; ++i) {
    submissions.Add({"job" + std::to_string(100 + i)},
                    kNow + std::chrono::milliseconds(i));
  }
  const std::vector<JobId> told = submissions.OwnSubmissions(kNow + 1s);
  REQUIRE(told.size() == UnsettledSubmissions::kMaxTold);
  CHECK(told.front().value == "job147");
  CHECK(submissions.OwnSubmissions(kNow + 13s).empty());
}

}  // namespace
}  // namespace jasminespar::jobs
