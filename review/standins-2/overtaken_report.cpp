// Case 6: an answer of a runner is overtaken by a later one.
#include <iostream>

#include "world.hpp"

using namespace review;

namespace {

constexpr const char* kJobX = "00000000000000a1";
constexpr const char* kJobY = "00000000000000b2";

std::string Body(const std::string& spec) {
  return Json{{"spec", spec},
              {"steps",
               {{{"count", 1},
                 {"cpu", 4000},
                 {"mem_mb", 1024},
                 {"gpu", 1},
                 {"estimate_ms", 4000},
                 {"requires", "kind-b"}}}}}
      .dump();
}

void Run() {
  const std::string folder = TemporaryFolder();
  Store store;
  Runners runners;
  runners.work_ms = [](const std::string&, std::uint64_t) { return 4000; };
  store.Put("op", "config", Configuration(1));
  const auto all = TwelveRunners(runners, store);
  Runner& b = *all.back();
  // X's first run fails by its own fault; all others are sound. The runner of
  // kind-b refuses one start with 503, as an unhealthy runner may.
  bool refused = false;
  bool delayed = false;
  bool failed = false;
  bool refusing = false;
  b.before = [&](const Request& request, const Json& body)
      -> std::optional<Response> {
    const std::lock_guard<std::mutex> lock(runners.mutex);
    if (refusing && !refused && request.path == "/jasminespar/run-start" &&
        body.value("task", "").starts_with(kJobY)) {
      refused = true;
      Response unhealthy;
      unhealthy.status = 503;
      return unhealthy;
    }
    return std::nullopt;
  };
  b.after = [&](const Request& request, const Json& body, Response& response) {
    // The first answer without a wait after the refusal.
    if (!refused || delayed || request.path != "/jasminespar/hold") return;
    if (body.contains("wait_ms") || response.status != 200) return;
    if (response.body.find(kJobX) == std::string::npos) return;
    delayed = true;
    if (Trouble()) response.hold_back_ms = 400;
    std::thread([&] {
      SleepMs(150);
      const std::lock_guard<std::mutex> held(runners.mutex);
      b.EndRun(std::string(kJobX) + ".0.0.0", "failed");
      failed = true;
    }).detach();
  };
  Instance one("node-1", "zone-a", store.port(), folder);
  const auto finish = [&one](int result) { Finish(result, {&one}); };
  one.Start();
  if (!one.WaitReady(15'000)) finish(2);
  SleepMs(3000);
  if (Client(one.callers, "POST", std::string("/queue-1/") + kJobX, Body("X"))
          .status != 200) {
    finish(2);
  }
  SleepMs(2500);
  {
    const std::lock_guard<std::mutex> lock(runners.mutex);
    refusing = true;
  }
  if (Client(one.callers, "POST", std::string("/queue-1/") + kJobY, Body("Y"))
          .status != 200) {
    finish(2);
  }
  const std::int64_t traffic_ends = NowMs();
  SleepMs(2000);
  {
    const std::lock_guard<std::mutex> lock(runners.mutex);
    if (!failed) {
      Record("the scenario did not come about: X has not failed");
      finish(2);
    }
  }
  // LOST: finish_s (14 s) after the end of the traffic, for 3 s, X has nothing
  // running though its turn has come and the service is idle.
  std::int64_t idle_since = -1;
  std::int64_t longest = 0;
  std::string state;
  const std::int64_t end = traffic_ends + 32'000;
  std::int64_t next_question = 0;
  while (NowMs() < end) {
    SleepMs(50);
    if (NowMs() >= next_question) {
      next_question = NowMs() + 5000;
      state = Client(one.callers, "GET", std::string("/queue-1/") + kJobX).body;
      if (state.find("completed") != std::string::npos) break;
    }
    if (NowMs() < traffic_ends + 14'000) continue;
    if (runners.RunningNow("") > 0) {
      idle_since = -1;
      continue;
    }
    if (idle_since < 0) idle_since = NowMs();
    longest = std::max(longest, NowMs() - idle_since);
  }
  state = Client(one.callers, "GET", std::string("/queue-1/") + kJobX).body;
  const std::string other =
      Client(one.callers, "GET", std::string("/queue-1/") + kJobY).body;
  Record("X is shown as " + state + ", Y as " + other +
         "; nothing ran on any runner for " + std::to_string(longest) +
         " ms later than finish_s after the traffic");
  const bool completed = state.find("completed") != std::string::npos;
  if (!completed && longest > 3000) {
    Record("LOST is broken: X waits for ever beside idle runners");
    finish(1);
  }
  finish(completed ? 0 : 2);
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
