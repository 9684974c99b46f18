#include "jasminespar/jobs/configuration_snapshot.h"

#include <catch2/catch.hpp>

namespace jasminespar::jobs {
namespace {

QueueConfiguration MakeQueue(const std::string& name, const std::string& host,
                             const std::string& prefix) {
  QueueConfiguration queue;
  queue.name.value = name;
  queue.host = host;
  queue.prefix = prefix;
  return queue;
}

SiteConfiguration MakeSite() {
  SiteConfiguration site;
  site.queues = {MakeQueue("outer", "a.example", "/x/"),
                 MakeQueue("inner", "a.example", "/x/y/"),
                 MakeQueue("partial", "a.example", "/x/y/zed"),
                 MakeQueue("other", "b.example", "/x/"),
                 MakeQueue("all", "c.example", "")};
  site.accounts = {{{"school"}, {"key-1", "key-2"}, 8},
                   {{"office"}, {"key-3"}, 4}};
  return site;
}

std::string RouteOf(const ConfigurationSnapshot& snapshot,
                    const std::string& host, const std::string& path) {
  const QueueConfiguration* queue = snapshot.FindQueueByRoute(host, path);
  return queue == nullptr ? "" : queue->name.value;
}

TEST_CASE("the longest prefix of a host decides on the queue") {
  const ConfigurationSnapshot snapshot(MakeSite());
  CHECK(RouteOf(snapshot, "a.example", "/x/1") == "outer");
  CHECK(RouteOf(snapshot, "a.example:8080", "/x/y/1") == "inner");
  CHECK(RouteOf(snapshot, "a.example", "/x/y/zedx") == "partial");
  CHECK(RouteOf(snapshot, "b.example", "/x/y/1") == "other");
  CHECK(RouteOf(snapshot, "c.example", "/any/path") == "all");
  CHECK(RouteOf(snapshot, "c.example", "") == "all");
  CHECK(RouteOf(snapshot, "a.example", "/y/").empty());
  CHECK(RouteOf(snapshot, "d.example", "/x/").empty());
  CHECK(RouteOf(snapshot, "", "").empty());
}

TEST_CASE("queues are found by name and accounts by each of their keys") {
  const ConfigurationSnapshot snapshot(MakeSite());
  REQUIRE(snapshot.FindQueue({"inner"}) != nullptr);
  CHECK(snapshot.FindQueue({"inner"})->prefix == "/x/y/");
  CHECK(snapshot.FindQueue({"none"}) == nullptr);
  REQUIRE(snapshot.FindAccountByKey("key-2") != nullptr);
  CHECK(snapshot.FindAccountByKey("key-2")->name.value == "school");
  CHECK(snapshot.FindAccountByKey("key-3")->name.value == "office");
  CHECK(snapshot.FindAccountByKey("") == nullptr);
}

}  // namespace
}  // namespace jasminespar::jobs
