// The operator's configuration: what is read, and what is not a configuration.
#include <catch2/catch.hpp>
#include <string>

#include "jasminespar/fleet/fleet_codec.h"

namespace jasminespar::fleet {
namespace {

const site::SiteCodec kCodec = MakeFleetCodec();

const std::string kRoute =
    R"({"name":"r-1","host":"a.example","prefix":"/x/","kind":"any",)"
    R"("timeout_ms":3000,"target_runtime_ms":250,"priority":2,)"
    R"("service":"s-1","max_attempts":4,"slack_factor":1.5,"public":true})";
const std::string kTenant =
    R"({"name":"t-1","api_keys":["k-1","k-2"],"priority":1,)"
    R"("guaranteed":{"gpu":264}})";

std::string Site(const std::string& routes, const std::string& tenants) {
  return R"({"version":7,"routes":[)" + routes +
         R"(],"services":[{"name":"s-1","health_path":"/","max_conns":64}],)"
         R"("limits":{"max_header_bytes":1,"max_body_bytes":262144},)"
         R"("tenants":[)" +
         tenants + "]}";
}

jobs::SiteConfiguration Read(const std::string& text) {
  auto decoded = kCodec.operators.decode_configuration(text);
  if (const auto* error = std::get_if<site::DecodeError>(&decoded)) {
    FAIL(error->message);
  }
  return std::get<jobs::SiteConfiguration>(std::move(decoded));
}

std::string ErrorOf(const std::string& text) {
  const auto decoded = kCodec.operators.decode_configuration(text);
  const auto* error = std::get_if<site::DecodeError>(&decoded);
  return error == nullptr ? "" : error->message;
}

TEST_CASE("every member of a configuration that matters is read") {
  const jobs::SiteConfiguration site = Read(Site(kRoute, kTenant));
  CHECK(site.version == Revision{7});
  CHECK(site.max_body_bytes == 262'144);
  REQUIRE(site.queues.size() == 1);
  const jobs::QueueConfiguration& queue = site.queues[0];
  CHECK(queue.name.value == "r-1");
  CHECK(queue.host == "a.example");
  CHECK(queue.prefix == "/x/");
  CHECK(queue.service.value == "s-1");
  CHECK(queue.is_public);
  CHECK(queue.priority == 2);
  CHECK(queue.max_attempts == 4);
  CHECK(queue.slack_factor == 1.5);
  CHECK(queue.target_runtime == 250ms);
  REQUIRE(site.accounts.size() == 1);
  CHECK(site.accounts[0].name.value == "t-1");
  CHECK(site.accounts[0].keys.size() == 2);
  CHECK(site.accounts[0].guaranteed_accelerators == 264);
}

TEST_CASE("members that are left out have their defaults") {
  const jobs::SiteConfiguration site = Read(
      R"({"routes":[{"name":"r","host":"h","prefix":"p","service":"s"},)"
      R"({"name":"q","host":"h","prefix":"q","service":"s","priority":1}],)"
      R"("tenants":[{"name":"t"}],"version":1})");
  REQUIRE(site.queues.size() == 2);
  CHECK_FALSE(site.queues[0].is_public);
  CHECK(site.queues[0].max_attempts == 1);
  CHECK(site.queues[0].priority == 0);
  CHECK(site.queues[1].priority == 1);
  CHECK(site.accounts[0].keys.empty());
  CHECK(site.max_body_bytes == 0);
}

TEST_CASE("unknown members are skipped at every level, whatever they hold") {
  const std::string unknown =
      R"("new":{"name":5,"routes":[{"name":1}],"version":"x"},"more":[[1],{}],)";
  std::string route = kRoute;
  route.insert(1, unknown);
  std::string tenant = kTenant;
  tenant.insert(1, unknown);
  std::string site = Site(route, tenant);
  site.insert(1, unknown);
  const jobs::SiteConfiguration read = Read(site);
  CHECK(read.version == Revision{7});
  REQUIRE(read.queues.size() == 1);
  CHECK(read.queues[0].name.value == "r-1");
  CHECK(read.accounts[0].name.value == "t-1");
}

TEST_CASE("a text that is not a whole valid configuration is rejected") {
  const std::string whole = Site(kRoute, kTenant);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(ErrorOf(whole.substr(0, size)).empty());
  }
  CHECK_FALSE(ErrorOf(whole + "x").empty());
  CHECK_FALSE(ErrorOf("[]").empty());
  CHECK_FALSE(ErrorOf(R"({"version":7})").empty());
  CHECK_FALSE(ErrorOf(R"({"routes":[]})").empty());
  CHECK_FALSE(ErrorOf(R"({"version":7,"routes":{}})").empty());
  CHECK_FALSE(ErrorOf(R"({"version":-7,"routes":[]})").empty());
  CHECK_FALSE(ErrorOf(R"({"version":1e300,"routes":[]})").empty());
  CHECK_FALSE(ErrorOf(Site("5", "")).empty());
  CHECK_FALSE(ErrorOf(Site(R"({"name":"r"})", "")).empty());
  CHECK_FALSE(ErrorOf(Site(kRoute, R"({"api_keys":["k"]})")).empty());
  CHECK_FALSE(ErrorOf(Site(kRoute, R"({"name":"t","api_keys":[1]})")).empty());
  std::string wrong = kRoute;
  wrong.replace(wrong.find("\"public\":true"), 13, "\"public\":1234");
  CHECK(ErrorOf(Site(wrong, "")) ==
        "member public has the wrong type or is out of range");
}

}  // namespace
}  // namespace jasminespar::fleet
