// Case 9: a runner that drains is cut off from the store and then from the
// instances; it runs on.
#include <algorithm>
#include <atomic>

#include "world.hpp"

using namespace review;

namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr std::int64_t kLeftMs = 9'500;      // Of the drain, at least.
constexpr std::int64_t kExpiryMs = 4'500;    // Three heartbeat intervals.
constexpr std::int64_t kStoreCutAfterMs = 800;  // All after the drain began.
constexpr std::int64_t kStoreCutForMs = 5'000;
constexpr std::int64_t kCutAfterMs = 4'000;  // Of the instances.
constexpr std::int64_t kCutForMs = 3'000;

void Run() {
  const std::string folder = TemporaryFolder();
  Store store;
  Runners runners;
  runners.work_ms = [](const std::string&, std::uint64_t) { return 9'500; };
  store.Put("op", "config", Configuration(1));
  const auto all = TwelveRunners(runners, store);
  Instance one("node-1", "zone-a", store.port(), folder);
  Instance two("node-2", "zone-a", store.port(), folder);
  const auto finish = [&](int result) { Finish(result, {&one, &two}); };
  one.Start();
  two.Start();
  if (!one.WaitReady(15'000) || !two.WaitReady(15'000)) finish(2);
  SleepMs(8000);
  const std::string body = Json{{"spec", "a job"},
                                {"steps",
                                 {{{"count", 1},
                                   {"cpu", 4000},
                                   {"mem_mb", 1024},
                                   {"gpu", 1},
                                   {"estimate_ms", 9'500}}}}}
                               .dump();
  if (Client(two.callers, "POST", std::string("/queue-1/") + kJob, body)
          .status != 200) {
    finish(2);
  }
  SleepMs(1000);
  Runner* leaving = nullptr;
  {
    const std::lock_guard<std::mutex> lock(runners.mutex);
    if (runners.seen.size() != 1) finish(2);
    for (auto& runner : all) {
      if (runner->id() == runners.seen[0].runner) leaving = runner.get();
    }
  }
  std::atomic<std::int64_t> cut_until{0};
  std::atomic<bool> cut{false};
  leaving->before = [&](const Request&, const Json&) -> std::optional<Response> {
    if (!cut) return std::nullopt;
    SleepMs(std::max<std::int64_t>(0, cut_until - NowMs()));
    Response lost;
    lost.lose = true;
    return lost;
  };
  leaving->after = [&](const Request&, const Json&, Response& response) {
    if (cut) response.lose = true;
  };
  leaving->Drain(kLeftMs);
  if (Trouble()) {
    SleepMs(kStoreCutAfterMs);
    leaving->cut_from_store = true;
    Record(leaving->id() + " no longer reaches the store");
    SleepMs(kCutAfterMs - kStoreCutAfterMs);
    cut_until = NowMs() + kCutForMs;
    cut = true;
    Record(leaving->id() + " no longer reaches the instances");
    SleepMs(kExpiryMs - kCutAfterMs);
    store.Delete("servers", leaving->id());
    Record("the platform removes its entry, after three intervals of silence");
    SleepMs(kStoreCutAfterMs + kStoreCutForMs - kExpiryMs);
    leaving->cut_from_store = false;
    Record(leaving->id() + " reaches the store again");
    SleepMs(cut_until - NowMs());
    cut = false;
    Record(leaving->id() + " reaches the instances again");
    SleepMs(3000);
  } else {
    SleepMs(kCutAfterMs + kCutForMs + 3000);
  }
  leaving->Leave();
  SleepMs(14'000);
  const std::string state =
      Client(two.callers, "GET", std::string("/queue-1/") + kJob).body;
  const std::lock_guard<std::mutex> lock(runners.mutex);
  bool twice = false;
  for (const RunSeen& first : runners.seen) {
    for (const RunSeen& second : runners.seen) {
      if (&first == &second || second.from_ms < first.from_ms) continue;
      if (second.from_ms >= first.to_ms && first.to_ms >= 0) continue;
      twice = true;
      const std::int64_t end = std::min(first.to_ms, second.to_ms);
      Record(first.task + ": run " + std::to_string(first.run) + " on " +
             first.runner + " and run " + std::to_string(second.run) + " on " +
             second.runner + " at the same time for " +
             std::to_string(end - second.from_ms) + " ms");
    }
  }
  if (twice) Record("TWICE is broken");
  const bool done = state.find("completed") != std::string::npos;
  finish(twice ? 1 : done ? 0 : 2);
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
