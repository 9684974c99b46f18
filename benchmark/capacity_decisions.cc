#include <deque>
#include <string>
#include <variant>
#include <vector>

#include "capacity_series.h"
#include "jasminespar/cell/cell.h"
#include "jasminespar/core/digest.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::benchmark {
namespace {

using namespace scheduling;  // NOLINT(google-build-using-namespace)

constexpr int kAcceleratorsPerWorker = 8;
constexpr int kAccounts = 66;

configuration::CellTopology MakeTopology(int accelerators) {
  configuration::CellTopology topology;
  topology.id = CellId{"dc-0/0"};
  for (int i = 0; i < accelerators / kAcceleratorsPerWorker; ++i) {
    configuration::Worker worker;
    worker.id = WorkerId{static_cast<std::uint64_t>(i)};
    worker.data_centre = DataCentreId{"dc-0"};
    worker.rack = static_cast<std::uint32_t>(i / 8);
    worker.accelerators = kAcceleratorsPerWorker;
    topology.workers.push_back(worker);
  }
  return topology;
}

configuration::CellShare MakeShare() {
  configuration::CellShare share;
  share.revision = Revision{1};
  for (int i = 0; i < kAccounts; ++i) {
    configuration::ClientAccount account;
    account.id = ClientAccountId{"account-" + std::to_string(i)};
    account.max_waiting_calls = 1'000'000;
    share.accounts.push_back(account);
  }
  return share;
}

/// The scheduler of a fully loaded cell: all accelerators are allocated, and
/// `waiting` jobs are queued.
class BusyScheduler {
 public:
  BusyScheduler(int accelerators, int waiting, int gang = 1)
      : scheduler_(MakeSettings(), MakeTopology(accelerators)), gang_(gang) {
    scheduler_.ApplyShare(MakeShare(), now_);
    for (int i = 0; i < accelerators / gang + waiting; ++i) EnqueueJob();
    Decide();
  }

  /// Ends one job, enqueues another and runs the scheduler.
  void Step() {
    now_ += 1ms;
    if (running_.empty()) std::fprintf(stderr, "the cell is idle\n");
    if (!running_.empty()) {
      scheduler_.Release(running_.front(), now_);
      running_.pop_front();
    }
    EnqueueJob();
    Decide();
  }

 private:
  static PolicySettings MakeSettings() {
    PolicySettings settings;
    settings.max_waiting_jobs = 1'000'000;
    return settings;
  }

  void EnqueueJob() {
    Job job;
    ++number_;
    job.id = CallId{number_, SeededHash("job", number_)};
    job.account =
        ClientAccountId{"account-" + std::to_string(number_ % kAccounts)};
    job.service = ServiceId{"service-" + std::to_string(number_ % 4)};
    job.arrival = now_;
    job.deadline = now_ + 24h;
    job.declared_run_time = 10s;
    job.gang.accelerators = gang_;
    DoNotOptimize(scheduler_.Enqueue(job, now_));
  }

  void Decide() {
    for (const Action& action : scheduler_.Decide(now_)) {
      std::visit(
          Overloaded{
              [&](const StartGang& start) { running_.push_back(start.id); },
              [](const auto&) {},
          },
          action);
    }
  }

  Scheduler scheduler_;
  TimePoint now_{1000s};
  std::uint64_t number_ = 0;
  int gang_;
  std::deque<CallId> running_;
};

void MeasureScheduler() {
  for (const int accelerators : {64, 128, 256, 512, 1024}) {
    const double before = HeapBytes();
    BusyScheduler busy(accelerators, 100);
    Print({"scheduler_bytes", "accelerators", "bytes"}, accelerators,
          HeapBytes() - before);
    Print({"decide", "accelerators with 100 waiting", "us"}, accelerators,
          MicrosecondsOf(100, [&] { busy.Step(); }));
  }
  for (const int gang : {1, 4, 8, 16, 32, 64}) {
    BusyScheduler busy(512, 100, gang);
    Print({"decide_gang", "accelerators of each gang", "us"}, gang,
          MicrosecondsOf(100, [&] { busy.Step(); }));
  }
  for (const int waiting : {100, 1000, 4000, 16000}) {
    const double before = HeapBytes();
    BusyScheduler busy(512, waiting);
    Print({"queue_bytes", "waiting on 512 accelerators", "bytes"}, waiting,
          HeapBytes() - before);
    Print({"decide_queue", "waiting on 512 accelerators", "us"}, waiting,
          MicrosecondsOf(50, [&] { busy.Step(); }));
  }
}

cell::SubmitCall MakeSubmit(std::uint64_t number) {
  constexpr std::size_t kBodyBytes = 1000;
  cell::SubmitCall submit;
  submit.token.number = number;
  CallRequest& request = submit.request;
  request.key =
      CallKey{ClientAccountId{"account-" + std::to_string(number % kAccounts)},
              ServiceId{"service-1"}, "key-" + std::to_string(number)};
  request.id = IdOf(request.key);
  request.time_left = 24h;
  request.body = std::string(kBodyBytes, 'x');
  return submit;
}

void MeasureCell() {
  for (const int calls : {100, 1000, 4000, 16000}) {
    cell::CellSettings settings;
    settings.policy.max_waiting_jobs = 1'000'000;
    const cell::Now now{TimePoint{1000s}, cell::WallTime{1}};
    cell::Cell cell(settings, Epoch{1, 0}, MakeTopology(512), MakeShare(), {},
                    now);
    for (std::uint64_t worker = 0; worker < 512 / kAcceleratorsPerWorker;
         ++worker) {
      DoNotOptimize(
          cell.Handle(cell::WorkerReported{WorkerId{worker}, false, {}}, now));
    }
    std::vector<cell::SubmitCall> submits;
    for (int i = 0; i < calls; ++i) {
      submits.push_back(MakeSubmit(static_cast<std::uint64_t>(i)));
    }
    const double inputs = HeapBytes();
    const double start = ThreadMicroseconds();
    for (const cell::SubmitCall& submit : submits) {
      DoNotOptimize(cell.Handle(submit, now));
    }
    const double microseconds = ThreadMicroseconds() - start;
    const double used = HeapBytes() - inputs;
    Print({"cell_bytes", "live calls of 1 kB", "bytes"}, calls, used);
    Print({"submit", "live calls of 1 kB", "us"}, calls, microseconds / calls);
  }
}

}  // namespace

void MeasureDecisions() {
  MeasureScheduler();
  MeasureCell();
}

}  // namespace jasminespar::benchmark
