#include "policy_driver.h"

#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <variant>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::benchmark {
namespace {

using scheduling::DropJob;
using scheduling::ReclaimGang;
using scheduling::StartGang;

/// Within its account's guarantee, a call must start this soon after arrival.
constexpr Duration kGuaranteeLimit = 2s;

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

struct JobProgress {
  const TraceJob* trace = nullptr;
  Duration left{};
  TimePoint started;
  WorkerId first_worker;
  std::uint32_t run = 0;  ///< Current run; ends of earlier ones are ignored.
  bool ever_started = false;
  bool reclaiming = false;
  bool within_guarantee = false;
};

struct RunEnd {
  TimePoint at;
  CallId id;
  std::uint32_t run = 0;
  auto operator<=>(const RunEnd&) const = default;
};

class CellSimulation {
 public:
  CellSimulation(const Trace& trace, const scheduling::PolicySettings& settings,
                 const ReclaimModel& reclaim, Results& results)
      : trace_(trace),
        reclaim_(reclaim),
        results_(results),
        scheduler_(settings, trace.topology) {
    scheduler_.ApplyShare(trace.share, TimePoint{});
    for (const auto& account : trace.share.accounts) {
      for (const auto& guarantee : account.guarantees) {
        guaranteed_[account.id] += static_cast<int>(guarantee.count) * 8;
      }
    }
  }

  void Run() {
    std::size_t next = 0;
    while (next < trace_.jobs.size() || !ends_.empty() || waiting_ > 0) {
      std::optional<TimePoint> at = scheduler_.NextDecision(now_);
      const auto consider = [&](TimePoint when) {
        if (!at || when < *at) at = when;
      };
      if (next < trace_.jobs.size()) {
        consider(trace_.jobs[next].job.arrival);
      }
      if (!ends_.empty()) consider(ends_.top().at);
      if (!at) return;
      Integrate(*at);
      now_ = std::max(now_, *at);
      while (!ends_.empty() && ends_.top().at <= now_) HandleRunEnd();
      while (next < trace_.jobs.size() &&
             trace_.jobs[next].job.arrival <= now_) {
        Arrive(trace_.jobs[next++]);
      }
      for (const auto& action : scheduler_.Decide(now_)) {
        std::visit(Overloaded{[&](const auto& each) { Apply(each); }}, action);
      }
    }
  }

 private:
  /// Accumulates the time-weighted results of [now_, until].
  void Integrate(TimePoint until) {
    if (until <= now_ || waiting_ == 0) return;
    const double duration = ToSeconds(until - now_);
    const auto summary = scheduler_.Summary(now_);
    results_.waiting_seconds += duration;
    results_.idle_share_seconds +=
        duration * summary.free_accelerators / summary.total_accelerators;
    results_.largest_shape_seconds += duration * summary.largest_free_shape;
  }

  void Arrive(const TraceJob& trace) {
    ++results_.jobs;
    if (trace.is_short && trace.at_peak) ++results_.peak_jobs;
    const int gang = trace.job.gang.accelerators;
    int& demand = demand_[trace.job.account];
    if (scheduler_.Enqueue(trace.job, now_)) {
      ++results_.refused;
      return;
    }
    JobProgress& progress = progress_[trace.job.id];
    progress.trace = &trace;
    progress.left = trace.run_time;
    // One accelerator always fits into the unused part of a guarantee.
    progress.within_guarantee =
        gang == 1 && demand + gang <= guaranteed_[trace.job.account];
    if (progress.within_guarantee) ++results_.guaranteed;
    demand += gang;
    ++waiting_;
  }

  void Apply(const StartGang& start) {
    JobProgress& progress = progress_.at(start.id);
    if (!progress.ever_started) RecordFirstStart(progress);
    progress.started = now_;
    progress.first_worker = start.placement.parts[0].worker;
    progress.reclaiming = false;
    ++progress.run;
    --waiting_;
    ends_.push({now_ + progress.left, start.id, progress.run});
  }

  void RecordFirstStart(JobProgress& progress) {
    const Duration wait = now_ - progress.trace->job.arrival;
    if (progress.trace->is_short) {
      results_.short_wait.push_back(ToSeconds(wait));
    }
    if (progress.within_guarantee && wait > kGuaranteeLimit) {
      ++results_.missed;
    }
    progress.ever_started = true;
  }

  void Apply(const ReclaimGang& reclaim) {
    ++results_.reclaims;
    JobProgress& progress = progress_.at(reclaim.id);
    progress.reclaiming = true;
    ++progress.run;
    ends_.push({now_ + reclaim_.checkpoint, reclaim.id, progress.run});
  }

  void Apply(const DropJob& drop) {
    const JobProgress& progress = progress_.at(drop.id);
    ++results_.dropped;
    if (progress.within_guarantee && !progress.ever_started) ++results_.missed;
    demand_[progress.trace->job.account] -=
        progress.trace->job.gang.accelerators;
    progress_.erase(drop.id);
    --waiting_;
  }

  void HandleRunEnd() {
    const RunEnd end = ends_.top();
    ends_.pop();
    const auto found = progress_.find(end.id);
    if (found == progress_.end() || found->second.run != end.run) return;
    JobProgress& progress = found->second;
    if (progress.reclaiming) {
      scheduler_.Release(end.id, now_);
      const Duration done = now_ - progress.started;
      if (reclaim_.keeps_progress) {
        progress.left = std::max(Duration{1}, progress.left - done);
      }
      progress.left += reclaim_.restart;
      if (scheduler_.Enqueue(progress.trace->job, now_)) {
        ++results_.dropped;
        demand_[progress.trace->job.account] -=
            progress.trace->job.gang.accelerators;
        progress_.erase(found);
        return;
      }
      ++waiting_;
      return;
    }
    Finish(end.id, progress);
  }

  void Finish(const CallId& id, const JobProgress& progress) {
    scheduler_.RecordResult(id, progress.first_worker,
                            scheduling::TaskResult::kSucceeded, now_);
    scheduler_.Release(id, now_);
    const TraceJob& trace = *progress.trace;
    const double taken = ToSeconds(now_ - trace.job.arrival);
    results_.completion.push_back(taken);
    if (trace.job.gang.accelerators >= 8) {
      results_.large_completion.push_back(taken);
    }
    if (trace.is_short && trace.at_peak && now_ <= trace.job.deadline) {
      ++results_.peak_in_time;
    }
    demand_[trace.job.account] -= trace.job.gang.accelerators;
    progress_.erase(id);
  }

  const Trace& trace_;
  ReclaimModel reclaim_;
  Results& results_;
  scheduling::Scheduler scheduler_;
  TimePoint now_;
  std::uint64_t waiting_ = 0;
  std::unordered_map<CallId, JobProgress> progress_;
  std::map<ClientAccountId, int> demand_;
  std::map<ClientAccountId, int> guaranteed_;
  std::priority_queue<RunEnd, std::vector<RunEnd>, std::greater<>> ends_;
};

}  // namespace

void RunTrace(const Trace& trace, const scheduling::PolicySettings& settings,
              const ReclaimModel& reclaim, Results& results) {
  CellSimulation(trace, settings, reclaim, results).Run();
}

}  // namespace jasminespar::benchmark
