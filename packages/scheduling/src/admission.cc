/// @file
/// Admission of jobs, the load summary, and explanations of waits.

#include <algorithm>
#include <string>

#include "jasminespar/core/overloaded.h"
#include "scheduler_state.h"

namespace jasminespar::scheduling {
namespace {

constexpr Duration kMinRetryAfter = 250ms;
constexpr Duration kMaxRetryAfter = 60s;

Refusal NotRun(Reason reason, Duration retry_after, std::string detail = {}) {
  return Refusal{reason, Verdict::kNotRun, retry_after, std::move(detail)};
}

}  // namespace

std::uint8_t Scheduler::State::LevelOf(const Job& job,
                                       Duration attained) const {
  const auto in_levels = [&](const LeastAttainedService& policy) {
    Duration service = attained;
    if (policy.learn_run_times) {
      const auto typical =
          run_times_.TypicalRunTime(job.service, job.gang.accelerators);
      service = std::max(service, typical.value_or(Duration{}));
    }
    return LevelOfService(policy, service * job.gang.accelerators);
  };
  const auto in_single_queue = [](const auto&) { return std::uint8_t{0}; };
  return std::visit(Overloaded{in_levels, in_single_queue}, settings_.queue);
}

Duration Scheduler::State::EstimateRetryDelay(const JobRecord& record,
                                              TimePoint now) const {
  const auto wait = start_rate_.ExpectedWait(
      queue_.demand(), record.job.priority, record.level, 1, now);
  return std::clamp(wait.value_or(kMaxRetryAfter), kMinRetryAfter,
                    kMaxRetryAfter);
}

std::optional<Refusal> Scheduler::State::CheckDeadline(
    const RefuseUnreachableDeadline& policy, const JobRecord& record,
    TimePoint now) const {
  const auto gang = static_cast<std::uint32_t>(record.job.gang.accelerators);
  if (allocator_.tree().free() >= gang) return std::nullopt;
  if (FitsUnusedGuarantee(record.account, record.job.gang)) {
    return std::nullopt;
  }
  const auto wait =
      start_rate_.ExpectedWait(queue_.demand(), record.job.priority,
                               record.level, policy.min_starts, now);
  if (!wait || now + *wait < record.job.deadline) return std::nullopt;
  const Duration over = now + *wait - record.job.deadline;
  return NotRun(Reason::kDeadlineUnreachable,
                std::clamp(over, kMinRetryAfter, kMaxRetryAfter));
}

std::optional<Refusal> Scheduler::State::CheckAdmission(const JobRecord& record,
                                                        TimePoint now) const {
  const Job& job = record.job;
  if (job.gang.accelerators < 1 ||
      job.gang.accelerators > kMaxGangAccelerators ||
      !allocator_.IsPossible(job.gang)) {
    return NotRun(Reason::kGangImpossible, Duration{});
  }
  if (job.deadline <= now) {
    return NotRun(Reason::kDeadlinePassed, Duration{});
  }
  // Returning jobs were accepted before. As many as there are accelerators may
  // exceed the limit, since that many jobs can run and return.
  const bool returning = job.arrival < now;
  const std::uint32_t room = returning ? allocator_.tree().total() : 0;
  if (queue_.size() >= settings_.max_waiting_jobs + room) {
    return NotRun(Reason::kQueueFull, EstimateRetryDelay(record, now));
  }
  if (returning) return std::nullopt;
  if (queue_.WaitingOf(record.account) >=
      accounts_[record.account].max_waiting) {
    return NotRun(Reason::kAccountQueueFull, EstimateRetryDelay(record, now));
  }
  return std::visit(
      Overloaded{
          [](const AdmitUntilFull&) { return std::optional<Refusal>{}; },
          [&](const RefuseUnreachableDeadline& policy) {
            return CheckDeadline(policy, record, now);
          },
      },
      settings_.admission);
}

LoadSummary Scheduler::State::Summary(TimePoint now) const {
  LoadSummary summary;
  summary.free_accelerators = allocator_.tree().free();
  summary.total_accelerators = allocator_.tree().total();
  summary.waiting_jobs =
      static_cast<std::uint32_t>(jobs_.size() - running_.size());
  summary.running_jobs = static_cast<std::uint32_t>(running_.size());
  summary.largest_free_shape = allocator_.tree().LargestFreeShape();
  if (summary.free_accelerators == 0) {
    const auto wait =
        start_rate_.ExpectedWait(queue_.demand(), Priority::kNormal, 0, 1, now);
    summary.expected_wait = wait.value_or(kMaxRetryAfter);
  }
  return summary;
}

std::vector<GuaranteeDeficit> Scheduler::State::GuaranteeDeficits() const {
  std::vector<GuaranteeDeficit> deficits;
  const LevelCounts missing = allocator_.MissingShapes();
  for (std::size_t i = 0; i < kShapeLevels; ++i) {
    if (missing[i] == 0) continue;
    GuaranteeDeficit entry;
    entry.level = static_cast<ShapeLevel>(i);
    entry.missing = static_cast<std::uint32_t>(missing[i]);
    for (AccountIndex a = 0; a < accounts_.size(); ++a) {
      const auto& guaranteed = allocator_.clusters().cluster(a).guaranteed;
      const bool holds = std::any_of(
          guaranteed.begin() + static_cast<std::ptrdiff_t>(i), guaranteed.end(),
          [](std::uint32_t count) { return count > 0; });
      if (holds) entry.accounts.push_back(accounts_[a].id);
    }
    deficits.push_back(std::move(entry));
  }
  return deficits;
}

std::optional<std::string> Scheduler::State::Explain(const CallId& id,
                                                     TimePoint now) const {
  const JobIndex job = jobs_.Find(id);
  if (job == kNoJob || !jobs_.at(job).IsWaiting()) return std::nullopt;
  const JobRecord& record = jobs_.at(job);
  if (record.state == JobState::kReady) return "It starts at once.";
  if (record.state == JobState::kClaiming) {
    return "It waits until borrowed work on its accelerators has stopped.";
  }
  const std::string gang = std::to_string(record.job.gang.accelerators);
  if (reservation_ && reservation_->job == job) {
    return "Accelerators are being kept for its gang of " + gang + ".";
  }
  const std::uint32_t free = allocator_.tree().free();
  std::string text =
      "It needs " + gang + " accelerators (adjacency " +
      std::string(RowOf(kAdjacencyNames, record.job.gang.adjacency).name) +
      "); " + std::to_string(free) + " are free, " +
      std::to_string(queue_.size()) + " jobs wait, level " +
      std::to_string(record.level) + ", waited " +
      std::to_string(ToMilliseconds(now - record.job.arrival)) + " ms.";
  return text;
}

}  // namespace jasminespar::scheduling
