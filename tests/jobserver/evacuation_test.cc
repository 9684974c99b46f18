// The owner of the cell knows which data centres the operator empties, whatever
// happens to the table's history and to the owner.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "jobserver/job_site.h"

namespace jasminespar::jobserver {
namespace {

std::string EmptiedMetric(int data_centres) {
  return "jasminespar_data_centres_emptied " + std::to_string(data_centres);
}

TEST_CASE("an owner learns of data centres that were emptied and taken back") {
  JobSite site(1);
  site.SetEvacuateWithin(5s);
  site.PutConfiguration({});
  site.EmptyDataCentre("a");  // Before there is an owner.
  site.StartInstance(0);
  CHECK(site.WaitForMetric(0, EmptiedMetric(1)));
  site.EmptyDataCentre("b");
  CHECK(site.WaitForMetric(0, EmptiedMetric(2)));
  site.TakeDataCentreBack("a");
  site.DropHistory();  // Of both changes.
  CHECK(site.WaitForMetric(0, EmptiedMetric(1)));
  site.TakeDataCentreBack("b");
  CHECK(site.WaitForMetric(0, EmptiedMetric(0)));
}

TEST_CASE("an owner that the table refuses learns it through a peer") {
  JobSite site(2);
  site.SetEvacuateWithin(5s);
  site.PutConfiguration({});
  site.StartInstance(0);
  site.EmptyDataCentre("a");
  REQUIRE(site.WaitForMetric(0, EmptiedMetric(1)));
  site.StartInstance(1);
  REQUIRE(site.WaitUntilServed(1, "queue-0"));
  standins::LinkFaults cut;
  cut.cut_to_target = true;
  site.SetTableLink(0, cut);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  site.EmptyDataCentre("b");
  CHECK(site.WaitForMetric(0, EmptiedMetric(2)));
}

TEST_CASE("no rows are read where the operator empties no data centres") {
  JobSite site(1);
  site.PutConfiguration({});
  site.EmptyDataCentre("a");
  site.StartInstance(0);
  REQUIRE(site.WaitForMetric(0, "jasminespar_cells_claimed_total 1"));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CHECK(site.WaitForMetric(0, EmptiedMetric(0)));
}

}  // namespace
}  // namespace jasminespar::jobserver
