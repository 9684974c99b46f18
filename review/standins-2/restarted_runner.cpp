// Case 7: a runner starts again under its id, and its first end is counted
// among those of its earlier life.
#include <algorithm>

#include "world.hpp"

using namespace review;

namespace {

constexpr const char* kFirst = "00000000000000a1";
constexpr const char* kLong = "00000000000000b2";
constexpr const char* kShort = "00000000000000c3";

std::string Body(const std::string& spec, int estimate_ms) {
  return Json{{"spec", spec},
              {"steps",
               {{{"count", 1},
                 {"cpu", 4000},
                 {"mem_mb", 1024},
                 {"gpu", 1},
                 {"estimate_ms", estimate_ms},
                 {"requires", "kind-b"}}}}}
      .dump();
}

void Run() {
  const std::string folder = TemporaryFolder();
  Store store;
  Runners runners;
  runners.work_ms = [](const std::string& task, std::uint64_t) {
    return task.starts_with(kLong) ? 8000 : 700;
  };
  store.Put("op", "config", Configuration(1));
  const auto all = TwelveRunners(runners, store);
  Runner& b = *all.back();
  std::uint64_t waiting_holds = 0;
  b.before = [&](const Request& request, const Json& body)
      -> std::optional<Response> {
    const std::lock_guard<std::mutex> lock(runners.mutex);
    if (request.path == "/jasminespar/hold" && body.contains("wait_ms")) {
      ++waiting_holds;
      runners.changed.notify_all();
    }
    return std::nullopt;
  };
  // It keeps no connection open after an answer.
  b.after = [](const Request&, const Json&, Response& response) {
    response.closes = true;
  };
  Instance one("node-1", "zone-a", store.port(), folder);
  Instance two("node-2", "zone-a", store.port(), folder);
  const auto finish = [&](int result) { Finish(result, {&one, &two}); };
  one.Start();
  two.Start();
  if (!one.WaitReady(15'000) || !two.WaitReady(15'000)) finish(2);
  SleepMs(3000);
  const auto submit = [&](const char* job, const char* spec, int estimate) {
    const std::string path = std::string("/queue-1/") + job;
    if (Client(two.callers, "POST", path, Body(spec, estimate)).status != 200) {
      finish(2);
    }
  };
  submit(kFirst, "first", 700);
  SleepMs(2500);
  submit(kLong, "long", 8000);
  SleepMs(2500);
  if (Trouble()) {
    // Its machine loses power while the owner waits for an end, and is back
    // within a second.
    std::uint64_t seen = 0;
    {
      std::unique_lock<std::mutex> lock(runners.mutex);
      seen = waiting_holds;
      runners.changed.wait_for(lock, std::chrono::seconds(5),
                               [&] { return waiting_holds > seen; });
      if (waiting_holds == seen) finish(2);
    }
    SleepMs(100);
    b.Crash(4500, true);
    SleepMs(500);
    b.Begin();
  }
  SleepMs(100);
  submit(kShort, "short", 700);
  SleepMs(25'000);
  for (const char* job : {kFirst, kLong, kShort}) {
    Client(two.callers, "GET", std::string("/queue-1/") + job);
  }
  const std::lock_guard<std::mutex> lock(runners.mutex);
  int broken = 0;
  bool done = false;
  for (const RunSeen& ended : runners.seen) {
    if (!ended.task.starts_with(kShort) || ended.how != "done") continue;
    done = true;
    for (const RunSeen& later : runners.seen) {
      if (later.task != ended.task || later.from_ms <= ended.to_ms) continue;
      Record(ended.task + ": run " + std::to_string(ended.run) + " ended done" +
             (ended.noted ? ", which last_seen has reached" : "") + "; run " +
             std::to_string(later.run) + " starts " +
             std::to_string(later.from_ms - ended.to_ms) + " ms later");
      if (ended.noted) ++broken;
    }
  }
  if (broken > 0) Record("TWICE is broken");
  finish(broken > 0 ? 1 : done ? 0 : 2);
}

}  // namespace

int main(int argc, char** argv) {
  OpenRecord(argc > 1 ? argv[1] : "record.txt");
  try {
    Run();
  } catch (const std::exception& error) {
    Record(std::string("could not run: ") + error.what());
  }
  Finish(2, {});
}
