// Case 8: the store is slow and discards its history once while the owner forgets
// jobs that were completed status_s before.
#include <algorithm>
#include <atomic>

#include "world.hpp"

using namespace review;

namespace {

constexpr int kJobs = 200;
constexpr std::int64_t kGapMs = 60;         // Between two submissions.
constexpr std::int64_t kStatusMs = 90'000;  // status_s
constexpr std::int64_t kSlowMs = 200;       // 50 times the usual 4 ms.
constexpr std::int64_t kSlowForMs = 4'500;

std::string IdOf(int job) {
  char id[20];
  std::snprintf(id, sizeof id, "%016x", 0xa0 + job);
  return id;
}

void Run() {
  const std::string folder = TemporaryFolder();
  setenv("REVIEW_STATUS_S", "90", 1);
  Store store;
  Runners runners;
  runners.work_ms = [](const std::string&, std::uint64_t) { return 100; };
  store.Put("op", "config", Configuration(1));
  const auto all = TwelveRunners(runners, store);
  std::atomic<bool> slow{false};
  store.after = [&](const Request&, Response& response) {
    if (slow) response.hold_back_ms = kSlowMs;
  };
  Instance one("node-1", "zone-a", store.port(), folder);
  Instance two("node-2", "zone-a", store.port(), folder);
  const auto finish = [&](int result) { Finish(result, {&one, &two}); };
  one.Start();
  two.Start();
  if (!one.WaitReady(15'000) || !two.WaitReady(15'000)) finish(2);
  SleepMs(3000);
  const std::int64_t first = NowMs();
  for (int job = 0; job < kJobs; ++job) {
    const std::string body = Json{{"spec", "job " + IdOf(job)},
                                  {"steps",
                                   {{{"count", 1},
                                     {"cpu", 4000},
                                     {"mem_mb", 1024},
                                     {"gpu", 1},
                                     {"estimate_ms", 100}}}}}
                                 .dump();
    SleepMs(std::max<std::int64_t>(0, first + job * kGapMs - NowMs()));
    if (Client(two.callers, "POST", "/queue-1/" + IdOf(job), body).status !=
        200) {
      finish(2);
    }
  }
  SleepMs(3000);
  for (int job = 0; job < kJobs; ++job) {
    const Response state = Client(one.callers, "GET", "/queue-1/" + IdOf(job));
    if (state.body.find("completed") == std::string::npos) finish(2);
  }
  // The first job was completed a moment after its submission.
  SleepMs(first + kStatusMs - NowMs());
  SleepMs(4000);
  const std::int64_t end = NowMs() + kSlowForMs;
  if (Trouble()) {
    slow = true;
    Record("the store is slow");
  }
  SleepMs(kSlowForMs / 2);
  if (Trouble()) {
    store.ForgetHistory();
    Record("the store discards its history");
  }
  SleepMs(end - NowMs());
  slow = false;
  Record("the store is as usual");
  SleepMs(6000);
  const std::lock_guard<std::mutex> lock(runners.mutex);
  int again = 0;
  for (const RunSeen& done : runners.seen) {
    if (done.how != "done" || !done.noted) continue;
    for (const RunSeen& later : runners.seen) {
      if (later.task != done.task || later.from_ms <= done.to_ms) continue;
      ++again;
      Record(done.task + ": run " + std::to_string(done.run) +
             " ended done and was taken note of; run " +
             std::to_string(later.run) + " starts " +
             std::to_string(later.from_ms - done.to_ms) + " ms later");
    }
  }
  Record(std::to_string(again) + " starts after a task was done");
  finish(again > 0 ? 1 : 0);
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
