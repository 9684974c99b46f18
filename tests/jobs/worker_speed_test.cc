// Fast and slow workers: a load of small tasks shows which are which, and
// urgent callers then get the fast ones.
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

/// Twelve workers; each third one takes 1.3 times as long for its tasks.
class MixedSite : public DispatcherFixture {
 public:
  MixedSite() {
    for (int i = 0; i < 12; ++i) AddWorker(NameOf(i));
    FinishLoading();
    Advance(200ms);
  }

  static bool IsSlow(const std::string& worker) {
    return (worker.back() - 'a') % 3 == 2;
  }

  /// Runs a job of one task for each accelerator to its end.
  void RunBatch(const std::string& id) {
    Feed(JobLoaded{Job(id, "batch", {Step(96, 1)}), {}});
    Advance(3s);  // Also on the workers that are kept for urgent work.
    std::map<std::string, std::vector<StartRun>> started;
    for (const SendOrder& order : starts) {
      started[order.worker.value].push_back(std::get<StartRun>(order.what));
    }
    AcceptStarts();
    Advance(2s);
    EndAll(started, false);
    Advance(600ms);
    EndAll(started, true);
    Advance(500ms);
  }

  /// @return the workers that an urgent job of one gang starts on.
  std::set<std::string> WorkersOfUrgentGang(const std::string& id,
                                            std::uint32_t members) {
    StepSpec gang = Step(members, 8);
    gang.gang = true;
    Feed(JobLoaded{Job(id, "urgent", {gang}), {}});
    Advance(200ms);
    std::set<std::string> workers;
    for (const SendOrder& order : starts) workers.insert(order.worker.value);
    return workers;
  }

 private:
  static std::string NameOf(int i) {
    return std::string("w") + static_cast<char>('a' + i);
  }

  void EndAll(const std::map<std::string, std::vector<StartRun>>& started,
              bool slow) {
    for (const auto& [worker, runs] : started) {
      if (IsSlow(worker) != slow) continue;
      for (const StartRun& start : runs) {
        End(worker, start.task, start.run, RunEnding::kDone);
      }
    }
  }
};

TEST_CASE("urgent work gets fast workers once they are known") {
  MixedSite site;
  site.RunBatch("batch1");
  REQUIRE(site.starts.empty());
  const std::set<std::string> workers = site.WorkersOfUrgentGang("urgent", 6);
  CHECK(workers.size() == 6);
  for (const std::string& worker : workers) {
    CHECK_FALSE(MixedSite::IsSlow(worker));
  }
}

TEST_CASE("urgent work does not wait for fast workers") {
  MixedSite site;
  site.RunBatch("batch1");
  CHECK(site.WorkersOfUrgentGang("urgent", 10).size() == 10);
}

}  // namespace
}  // namespace jasminespar::jobs
