/// @file
/// Measures what the owner of a cell spends on a worker's report and on a
/// decision as the number of workers grows.
///
///     bench_owner_cost [ROUNDS]
///
/// CSV on stdout: a row for each number of workers, all of them busy, with
/// waiting jobs in proportion, without and with the setting `worker_pace`; a
/// quarter of the workers is slow, and each report shows progress. Times are
/// means, in microseconds.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobs/dispatcher.h"

namespace jasminespar::benchmark {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kDefaultRounds = 50;
constexpr std::size_t kWorkersPerRack = 20;
constexpr std::size_t kWorkersPerWaitingJob = 20;
constexpr std::uint32_t kTasksPerJob = 40;
constexpr std::uint32_t kGangMembers = 5;
constexpr std::uint32_t kMaxPercent = 99;
constexpr std::uint32_t kSlowEvery = 4;
constexpr Duration kRound = 40ms;

double MicrosecondsSince(Clock::time_point begun) {
  return std::chrono::duration<double, std::micro>(Clock::now() - begun)
      .count();
}

/// A dispatcher whose workers run as many small tasks as they have room for.
class BusyCell {
 public:
  BusyCell(std::size_t workers, Switch pace)
      : dispatcher_(SettingsWith(pace), Epoch{1, 0}, {}) {
    Configure();
    for (std::size_t i = 0; i < workers; ++i) AddWorker(i);
    dispatcher_.FinishLoading(now_.steady);
    Decide();
    jobs::StepSpec small;
    small.count = kTasksPerJob;
    small.need = {2'800, 5'700, 1};
    small.estimate = 6s;
    for (std::size_t i = 0; i < workers * 8 / kTasksPerJob + 1; ++i) {
      AddJob("small" + std::to_string(i), "batch", small);
    }
    now_.steady += 10s;  // The workers kept for urgent work get tasks too.
    ConfirmList();
    ReportAll();
    Decide();
    jobs::StepSpec gang;
    gang.count = kGangMembers;
    gang.need = {3'700, 9'800, 8};
    gang.estimate = 2s;
    gang.gang = true;
    for (std::size_t i = 0; i < workers / kWorkersPerWaitingJob; ++i) {
      AddJob("gang" + std::to_string(i), "batch", gang);
    }
  }

  /// Passes a report of every worker.
  /// @return the time for each, in microseconds.
  double ReportAll() {
    const std::vector<jobs::SendOrder> polls = std::exchange(polls_, {});
    now_.steady += kRound;
    Progress();
    const Clock::time_point begun = Clock::now();
    for (const jobs::SendOrder& poll : polls) {
      jobs::WorkerReport report;
      report.clock.value = 1'000;
      report.runs = runs_[poll.worker];
      Apply(dispatcher_.Handle(
          jobs::OrderEnded{poll.order, poll.worker, std::move(report)}, now_));
    }
    return polls.empty() ? 0 : MicrosecondsSince(begun) / polls.size();
  }

  /// @return the time of the decision, in microseconds.
  double Decide() {
    now_.steady += 10ms;
    ConfirmList();
    const Clock::time_point begun = Clock::now();
    std::vector<jobs::DispatcherEffect> effects =
        dispatcher_.Decide(jobs::Authority::kFull, now_);
    const double took = MicrosecondsSince(begun);
    Apply(std::move(effects));
    return took;
  }

 private:
  static jobs::DispatcherSettings SettingsWith(Switch pace) {
    jobs::DispatcherSettings settings;
    settings.worker_pace = pace;
    return settings;
  }

  void Progress() {
    std::uint32_t worker = 0;
    for (auto& [name, runs] : runs_) {
      const std::uint32_t gain = worker++ % kSlowEvery == 0 ? 1 : 2;
      for (jobs::ListedRun& run : runs) {
        run.percent = std::min(run.percent + gain, kMaxPercent);
      }
    }
  }

  void Configure() {
    jobs::SiteConfiguration site;
    jobs::QueueConfiguration queue;
    queue.name.value = "batch";
    queue.service.value = "service";
    queue.priority = 2;
    site.queues.push_back(queue);
    Apply(dispatcher_.Handle(
        jobs::ConfigurationChanged{
            std::make_shared<const jobs::ConfigurationSnapshot>(
                std::move(site))},
        now_));
  }

  void AddWorker(std::size_t number) {
    jobs::WorkerEntry entry;
    entry.name.value = "i-" + std::to_string(number);
    entry.service.value = "service";
    entry.host = "127.0.0.1";
    entry.port = 1;
    entry.capacity = {32'000, 65'536, 8};
    entry.rack = "r-" + std::to_string(number / kWorkersPerRack);
    Apply(dispatcher_.Handle(jobs::WorkerEnrolled{entry.name, "127.0.0.1", 1},
                             now_));
    Apply(dispatcher_.Handle(jobs::WorkerListed{entry}, now_));
  }

  void AddJob(const std::string& id, const std::string& queue,
              const jobs::StepSpec& step) {
    jobs::JobLoaded loaded;
    loaded.job.id.value = id;
    loaded.job.queue.value = queue;
    loaded.job.accepted_at = now_.wall;
    loaded.job.spec.steps = {step};
    Apply(dispatcher_.Handle(std::move(loaded), now_));
  }

  void ConfirmList() {
    Apply(dispatcher_.Handle(jobs::WorkerListConfirmed{now_.steady}, now_));
  }

  void Apply(std::vector<jobs::DispatcherEffect> effects) {
    for (jobs::DispatcherEffect& effect : effects) {
      std::visit(Overloaded{
                     [&](jobs::SendOrder& order) { Apply(std::move(order)); },
                     [&](jobs::Commit& commit) {
                       Apply(dispatcher_.Handle(jobs::CommitDone{commit.commit},
                                                now_));
                     },
                     [](jobs::Decision&) {},
                     [](jobs::RunConcluded&) {},
                     [](jobs::RunContradicted&) {},
                     [](jobs::StageFailed&) {},
                     [](jobs::ResignOwnership&) {},
                 },
                 effect);
    }
  }

  void Apply(jobs::SendOrder order) {
    if (std::holds_alternative<jobs::PollWorker>(order.what)) {
      polls_.push_back(std::move(order));
      return;
    }
    if (const auto* start = std::get_if<jobs::StartRun>(&order.what)) {
      runs_[order.worker].push_back({start->task, start->run, "", 0});
    }
    Apply(dispatcher_.Handle(
        jobs::OrderEnded{order.order, order.worker, jobs::OrderAccepted{}},
        now_));
  }

  jobs::Dispatcher dispatcher_;
  jobs::Now now_{TimePoint(1h), {1'000'000}};
  std::vector<jobs::SendOrder> polls_;
  std::map<jobs::WorkerName, std::vector<jobs::ListedRun>> runs_;
};

void Measure(std::size_t workers, Switch pace, int rounds) {
  BusyCell cell(workers, pace);
  double report = 0;
  double decision = 0;
  for (int i = 0; i < rounds; ++i) {
    report += cell.ReportAll();
    decision += cell.Decide();
  }
  std::printf("%zu,%s,%.2f,%.1f\n", workers,
              std::string(RowOf(kSwitchNames, pace).name).c_str(),
              report / rounds, decision / rounds);
}

void Run(int rounds) {
  std::printf("workers,worker_pace,report_us,decision_us\n");
  for (const std::size_t workers : {50, 100, 300, 540, 1000, 3000}) {
    for (const Switch pace : {Switch::kOff, Switch::kOn}) {
      Measure(workers, pace, rounds);
    }
  }
}

}  // namespace
}  // namespace jasminespar::benchmark

int main(int argc, char** argv) {
  jasminespar::benchmark::Run(
      argc > 1 ? std::atoi(argv[1]) : jasminespar::benchmark::kDefaultRounds);
  return 0;
}
