// Beyond the five: a runner crashes for good; its lasting task stays away for
// long.
#include <algorithm>

#include "world.hpp"

using namespace review;

namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr std::int64_t kAfterLastRunMs = 6000;  // "from 6 s after its last run"
constexpr std::int64_t kForMs = 3000;           // "for 3 s"

void Run() {
  const std::string folder = TemporaryFolder();
  Store store;
  Runners runners;
  runners.work_ms = [](const std::string&, std::uint64_t) { return 3'600'000; };
  store.Put("op", "config", Configuration(1));
  const auto all = TwelveRunners(runners, store);
  Instance one("node-1", "zone-a", store.port(), folder);
  Instance two("node-2", "zone-a", store.port(), folder);
  const auto finish = [&](int result) { Finish(result, {&one, &two}); };
  one.Start();
  two.Start();
  if (!one.WaitReady(15'000) || !two.WaitReady(15'000)) finish(2);
  SleepMs(8000);
  const std::string body = Json{{"spec", "lasting"},
                                {"steps",
                                 {{{"count", 1},
                                   {"cpu", 4000},
                                   {"mem_mb", 1024},
                                   {"gpu", 1},
                                   {"estimate_ms", 1000},
                                   {"long_running", true}}}}}
                               .dump();
  if (Client(two.callers, "POST", std::string("/queue-1/") + kJob, body)
          .status != 200) {
    finish(2);
  }
  SleepMs(5000);
  std::string at;
  {
    const std::lock_guard<std::mutex> lock(runners.mutex);
    if (runners.seen.size() != 1 || runners.seen[0].to_ms >= 0) finish(2);
    at = runners.seen[0].runner;
  }
  if (Trouble()) {
    for (auto& runner : all) {
      if (runner->id() == at) runner->Crash(4500);
    }
  }
  SleepMs(25'000);
  const std::lock_guard<std::mutex> lock(runners.mutex);
  if (!Trouble()) finish(runners.seen[0].to_ms < 0 ? 0 : 2);
  const std::int64_t ended = runners.seen[0].to_ms;
  const std::int64_t again =
      runners.seen.size() > 1 ? runners.seen[1].from_ms : NowMs();
  Record("the lasting task was away for " + std::to_string(again - ended) +
         " ms beside idle runners");
  if (again - ended > kAfterLastRunMs + kForMs) {
    Record("LOST is broken");
    finish(1);
  }
  finish(0);
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
