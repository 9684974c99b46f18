/// @file
/// A dispatcher with simulated workers that the test controls.

#ifndef JASMINESPAR_TESTS_JOBS_DISPATCHER_FIXTURE_H_
#define JASMINESPAR_TESTS_JOBS_DISPATCHER_FIXTURE_H_

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "failing_allocation.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobs/dispatcher.h"

namespace jasminespar::jobs {

/// Whether a worker is stored in the table before the platform lists it.
enum class Enrolment : std::uint8_t { kDurable, kPending };

/// Answers commits and polls at once; the test answers starts and stops.
class DispatcherFixture {
 public:
  explicit DispatcherFixture(std::uint64_t epoch = 1,
                             const DispatcherSettings& dispatcher_settings = {})
      : settings(dispatcher_settings),
        dispatcher(dispatcher_settings, Epoch{epoch, 0}, predecessors) {
    SiteConfiguration site;
    site.queues.push_back(Queue("urgent", 0, 2));
    site.queues.push_back(Queue("batch", 2, 2));
    site.accounts.push_back({{"school"}, {"key"}, 16});
    configuration =
        std::make_shared<const ConfigurationSnapshot>(std::move(site));
    Feed(ConfigurationChanged{configuration});
  }

  static QueueConfiguration Queue(const std::string& name,
                                  std::uint32_t priority,
                                  std::uint32_t max_attempts) {
    QueueConfiguration queue;
    queue.name.value = name;
    queue.service.value = "matching";
    queue.priority = priority;
    queue.max_attempts = max_attempts;
    return queue;
  }

  static StepSpec Step(std::uint32_t count, std::int64_t accelerators) {
    StepSpec step;
    step.count = count;
    step.need = {1000, 1000, accelerators};
    step.estimate = 2s;
    return step;
  }

  static AcceptedJob Job(const std::string& id, const std::string& queue,
                         std::vector<StepSpec> steps) {
    AcceptedJob job;
    job.id.value = id;
    job.queue.value = queue;
    job.account.value = "school";
    job.accepted_at.value = 1'000'000;
    job.spec.steps = std::move(steps);
    return job;
  }

  /// Adds a worker with 8 accelerators.
  void AddWorker(const std::string& name, const std::string& rack = "r1",
                 Enrolment enrolment = Enrolment::kDurable) {
    AddWorker(EntryOf(name, rack), enrolment);
  }

  static WorkerEntry EntryOf(const std::string& name,
                             const std::string& rack = "r1") {
    WorkerEntry entry;
    entry.name.value = name;
    entry.service.value = "matching";
    entry.host = "127.0.0.1";
    entry.port = 1;
    entry.capacity = {32'000, 128'000, 8};
    entry.rack = rack;
    return entry;
  }

  void AddWorker(const WorkerEntry& entry,
                 Enrolment enrolment = Enrolment::kDurable) {
    if (enrolment == Enrolment::kDurable) {
      Feed(WorkerEnrolled{entry.name, entry.host, entry.port});
    }
    Feed(WorkerListed{entry});
    reports[entry.name.value];
  }

  void FinishLoading() { dispatcher.FinishLoading(now.steady); }

  /// Advances time in small steps, calling Decide after each.
  void Advance(Duration duration, Authority authority = Authority::kFull) {
    for (Duration passed{}; passed < duration; passed += tick) {
      now.steady += tick;
      now.wall.value += static_cast<std::uint64_t>(ToMilliseconds(tick));
      if (list_confirmed) Feed(WorkerListConfirmed{now.steady});
      if (jobs_confirmed) Feed(JobRowsConfirmed{now.steady});
      ApplyEffects(Decide(authority));
    }
  }

  void Feed(DispatcherInput input) {
    ApplyEffects(dispatcher.Handle(std::move(input), now));
  }

  /// Ends an order with the given outcome.
  void Answer(const SendOrder& order, OrderOutcome outcome) {
    Feed(OrderEnded{order.order, order.worker, std::move(outcome)});
  }

  /// Accepts every unanswered start; the workers then report its run.
  void AcceptStarts() {
    std::vector<SendOrder> waiting = std::exchange(starts, {});
    for (const SendOrder& order : waiting) {
      const auto& start = std::get<StartRun>(order.what);
      reports[order.worker.value].runs.push_back(
          {start.task, start.run, "", 0});
      Answer(order, OrderAccepted{ClockOf(order.worker.value)});
    }
  }

  /// The worker's process ends, and a new one starts under its name.
  void Restart(const std::string& worker, Incarnation incarnation) {
    reports[worker] = WorkerReport{};
    reports[worker].incarnation = incarnation;
    last_end[worker] = 0;
    started_at[worker] = now.steady;
  }

  [[nodiscard]] WorkerClock ClockOf(const std::string& worker) {
    return {static_cast<std::uint64_t>(
        ToMilliseconds(now.steady - started_at[worker]) + 1)};
  }

  /// Polls whose reports were held get no answer.
  void LoseReports() {
    for (const HeldReport& held : std::exchange(held_reports, {})) {
      Answer(held.order, OrderUnanswered{});
    }
  }

  /// Delivers a report that was held.
  void DeliverReport(std::size_t index) {
    HeldReport held = std::move(held_reports.at(index));
    held_reports.erase(held_reports.begin() +
                       static_cast<std::ptrdiff_t>(index));
    Answer(held.order, std::move(held.report));
  }

  /// Answers the commit in flight, if any, and all later ones.
  void AnswerCommits() {
    answer_commits = true;
    if (unanswered_commit_) {
      Feed(CommitDone{*std::exchange(unanswered_commit_, std::nullopt)});
    }
  }

  /// The table rejects the commit in flight.
  void RejectCommit() {
    Feed(CommitRejected{*std::exchange(unanswered_commit_, std::nullopt)});
  }

  /// Ends a run at its worker; the next poll reports it.
  void End(const std::string& worker, const TaskName& task, RunNumber run,
           RunEnding ending) {
    WorkerReport& report = reports[worker];
    std::erase_if(report.runs,
                  [&](const ListedRun& listed) { return listed.run == run; });
    report.ends.push_back(
        {++last_end[worker], task, run, ending, std::string()});
  }

  /// A report that the worker has made and that has not arrived.
  struct HeldReport {
    SendOrder order;
    WorkerReport report;
  };

  DispatcherSettings settings;
  PredecessorWindows predecessors{5s, 1500ms};
  Dispatcher dispatcher;
  std::shared_ptr<const ConfigurationSnapshot> configuration;
  Now now{TimePoint(1h), {1'000'000}};
  Duration tick = 50ms;  ///< Between decisions while time advances.
  std::map<std::string, WorkerReport> reports;
  std::map<std::string, std::uint64_t> last_end;
  std::map<std::string, TimePoint> started_at;  ///< The worker's process.
  /// Most ends that a worker lists in one report, the oldest first.
  std::size_t ends_per_report = 500;
  bool hold_reports = false;  ///< Reports wait in `held_reports`.
  std::vector<HeldReport> held_reports;
  std::map<std::string, bool> unresponsive;  ///< Workers that answer no poll.
  std::vector<SendOrder> starts;
  std::vector<SendOrder> stops;
  std::vector<Decision> decisions;
  std::vector<RunConcluded> conclusions;
  std::vector<RunContradicted> contradictions;
  std::vector<StageFailed> failures;
  /// In each decision; from 0.
  std::optional<int> fail_allocation;
  bool allocation_failed = false;
  std::size_t stops_sent = 0;
  /// Unset: the test answers stops.
  std::optional<OrderOutcome> answer_stops_with;
  /// Milliseconds on the worker's clock; 0: the poll requested no lease.
  std::map<std::string, std::uint64_t> lease_of_last_poll;
  std::vector<JobStatus> statuses;
  std::map<JobId, JobProgress> progress;  ///< Of the first range of each job.
  std::map<std::pair<JobId, std::uint32_t>, JobProgress> progress_rows;
  std::size_t largest_row = 0;  ///< Of progress, in bytes.
  std::vector<WorkerName> departed;
  std::vector<JobId> expired;
  bool delete_rows = true;  ///< Rows of expired jobs are deleted at once.
  std::vector<ForgottenJob> forgotten;
  std::map<QueueId, QueueRecord> queue_records;  ///< As the table has them.
  std::vector<WorkerEnrolled> enrolled;
  std::size_t largest_commit = 0;        ///< In rows.
  std::size_t most_tasks_in_commit = 0;  ///< Whose progress it holds.
  bool answer_commits = true;
  bool resigned = false;
  /// Size of a commit's progress from which on the table rejects it.
  std::size_t table_limit = std::numeric_limits<std::size_t>::max();
  bool list_confirmed = true;  ///< The list of workers is followed all along.
  bool jobs_confirmed = true;  ///< So are the jobs in the table.
  std::uint64_t acknowledged = 0;  ///< Last ended run that a poll acknowledged.

 private:
  std::vector<DispatcherEffect> Decide(Authority authority) {
    if (!fail_allocation) return dispatcher.Decide(authority, now);
    const FailingAllocation failing(*fail_allocation);
    std::vector<DispatcherEffect> effects = dispatcher.Decide(authority, now);
    allocation_failed = allocation_failed || failing.failed();
    return effects;
  }

  void ApplyEffects(std::vector<DispatcherEffect> effects) {
    for (DispatcherEffect& effect : effects) {
      std::visit(Overloaded{
                     [&](SendOrder& order) { HandleOrder(std::move(order)); },
                     [&](Commit& commit) { HandleCommit(std::move(commit)); },
                     [&](Decision& decision) {
                       decisions.push_back(std::move(decision));
                     },
                     [&](RunConcluded& concluded) {
                       conclusions.push_back(std::move(concluded));
                     },
                     [&](RunContradicted& contradicted) {
                       contradictions.push_back(std::move(contradicted));
                     },
                     [&](StageFailed& failure) { failures.push_back(failure); },
                     [&](ResignOwnership&) { resigned = true; },
                 },
                 effect);
    }
  }

  void HandleOrder(SendOrder order) {
    if (std::holds_alternative<StartRun>(order.what)) {
      starts.push_back(std::move(order));
      return;
    }
    if (std::holds_alternative<StopRun>(order.what)) {
      ++stops_sent;
      stops.push_back(order);
      if (answer_stops_with) Answer(order, *answer_stops_with);
      return;
    }
    const auto& poll = std::get<PollWorker>(order.what);
    lease_of_last_poll[order.worker.value] = order.lease_until.value;
    acknowledged = std::max(acknowledged, poll.acknowledge_to);
    WorkerReport& report = reports[order.worker.value];
    std::erase_if(report.ends, [&](const EndedRun& end) {
      return end.number <= poll.acknowledge_to;
    });
    if (unresponsive[order.worker.value]) {
      Answer(order, OrderUnanswered{});
      return;
    }
    report.clock = ClockOf(order.worker.value);
    WorkerReport page = report;
    page.more_ends = page.ends.size() >= ends_per_report;
    if (page.more_ends) page.ends.resize(ends_per_report);
    if (hold_reports) {
      held_reports.push_back({order, std::move(page)});
    } else {
      Answer(order, std::move(page));
    }
  }

  void HandleCommit(Commit commit) {
    std::size_t bytes = 0;
    for (const JobProgress& each : commit.progress) {
      bytes += StoredSizeBound(each);
    }
    if (bytes > table_limit) {
      Feed(CommitRejected{commit.commit});
      return;
    }
    std::size_t tasks = 0;
    for (const JobProgress& each : commit.progress) {
      if (each.first_task == 0) progress[each.job] = each;
      progress_rows[{each.job, each.first_task}] = each;
      largest_row = std::max(largest_row, StoredSizeBound(each));
      tasks += each.tasks.size();
    }
    most_tasks_in_commit = std::max(most_tasks_in_commit, tasks);
    largest_commit = std::max(
        largest_commit, commit.progress.size() + commit.statuses.size() +
                            commit.enrolled.size() + commit.departed.size());
    enrolled.insert(enrolled.end(), commit.enrolled.begin(),
                    commit.enrolled.end());
    statuses.insert(statuses.end(), commit.statuses.begin(),
                    commit.statuses.end());
    for (const QueueRecord& each : commit.queues) {
      queue_records[each.queue.name] = each;
    }
    for (const QueueId& each : commit.unused_queues) queue_records.erase(each);
    forgotten.insert(forgotten.end(), commit.forgotten.begin(),
                     commit.forgotten.end());
    for (const JobId& job : commit.expired) {
      expired.push_back(job);
      if (!delete_rows) continue;
      Feed(JobRowDeleted{job});
      Feed(CancellationRowDeleted{job});
    }
    departed.insert(departed.end(), commit.departed.begin(),
                    commit.departed.end());
    if (answer_commits) {
      Feed(CommitDone{commit.commit});
    } else {
      unanswered_commit_ = commit.commit;
    }
  }

  std::optional<CommitNumber> unanswered_commit_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_TESTS_JOBS_DISPATCHER_FIXTURE_H_
