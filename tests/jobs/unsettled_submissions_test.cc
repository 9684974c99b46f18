// What an instance may answer about a job whose submission had an unknown
// outcome.
#include "jasminespar/jobs/unsettled_submissions.h"

#include <catch2/catch.hpp>

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};
const JobId kOther{"00000000000000bb"};
const InstanceId kPeer{"edge-2"};
constexpr TimePoint kNow{1h};

TEST_CASE(
    "an unknown outcome at this instance means that the job may be stored") {
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

TEST_CASE("an unknown outcome at a peer means that the job may be stored") {
  UnsettledSubmissions submissions;
  submissions.HandlePeerReport(kPeer, {kJob}, kNow);
  CHECK(submissions.MayBeStored(kJob, kNow + 1s));
  SECTION("until the peer no longer reports it") {
    submissions.HandlePeerReport(kPeer, {kOther}, kNow + 1s);
    CHECK_FALSE(submissions.MayBeStored(kJob, kNow + 1s));
    CHECK(submissions.MayBeStored(kOther, kNow + 1s));
  }
  SECTION("another peer's report does not settle it") {
    submissions.HandlePeerReport({"edge-3"}, {}, kNow + 1s);
    CHECK(submissions.MayBeStored(kJob, kNow + 1s));
  }
  SECTION(
      "also after the peer has failed, until its write cannot take effect") {
    CHECK(submissions.MayBeStored(kJob, kNow + 11s));
    CHECK_FALSE(submissions.MayBeStored(
        kJob, kNow + UnsettledSubmissions::kLateWriteTimeout));
  }
}

TEST_CASE("peers are sent a limited number of submissions, the newest first") {
  UnsettledSubmissions submissions;
  constexpr std::size_t kCount = 2 * UnsettledSubmissions::kMaxReported;
  for (std::size_t i = 0; i < kCount; ++i) {
    submissions.Add({"job" + std::to_string(i)},
                    kNow + std::chrono::milliseconds(i));
  }
  const std::vector<JobId> reported = submissions.OwnSubmissions(kNow + 1s);
  REQUIRE(reported.size() == UnsettledSubmissions::kMaxReported);
  CHECK(reported.front().value == "job" + std::to_string(kCount - 1));
  CHECK(submissions.OwnSubmissions(kNow + 13s).empty());
}

}  // namespace
}  // namespace jasminespar::jobs
