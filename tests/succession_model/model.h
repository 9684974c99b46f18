/// @file
/// Randomised simulation in virtual time: instances that run the real Ownership
/// and Dispatcher over a modelled table, network and workers.

#ifndef JASMINESPAR_TESTS_SUCCESSION_MODEL_MODEL_H_
#define JASMINESPAR_TESTS_SUCCESSION_MODEL_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "jasminespar/jobs/dispatcher.h"
#include "jasminespar/jobs/ownership.h"

namespace jasminespar::jobs {

struct ModelSettings {
  std::uint64_t seed = 1;
  JobId traced;  ///< Printed is what happens to this job; empty: none.
  Duration fault_duration = 60s;    ///< Faults begin and jobs come,
  Duration settle_duration = 100s;  ///< then all jobs have to complete.
};

struct ModelResult {
  std::vector<std::string> violations;
  std::size_t jobs = 0;
  std::size_t completed = 0;
  std::size_t starts = 0;
  std::size_t takeovers = 0;
};

/// A worker, which is sound all along and has a clock of its own.
class ModelWorker {
 public:
  struct Run {
    RunNumber run;
    TimePoint ends_at;
    bool stopping = false;
  };

  [[nodiscard]] WorkerClock ClockAt(TimePoint now) const;
  /// Ends runs whose time or lease is over.
  void Advance(TimePoint now);
  void Renew(WorkerClock until, TimePoint now);

  WorkerEntry entry;
  std::size_t zone = 0;
  double rate = 1.0;  ///< Of its clock.
  std::uint64_t fence = 0;
  WorkerClock lease_until;
  std::map<TaskName, Run> runs;
  std::vector<EndedRun> ends;
  std::uint64_t last_end = 0;
  std::map<TaskName, RunNumber> highest_ended;
  /// Ends `done` that are not acknowledged, and whether the lease has lapsed
  /// since.
  std::map<std::uint64_t, bool> lapsed_since;
  std::function<void(const EndedRun&, TimePoint)> on_end;

 private:
  void End(const TaskName& task, RunEnding ending, TimePoint now);
};

class Model {
 public:
  explicit Model(const ModelSettings& settings);
  ModelResult Run();

 private:
  struct OwnerWrite {
    enum class Kind : std::uint8_t { kClaim, kHeartbeat, kCommit, kRelease };
    Kind kind = Kind::kHeartbeat;
    OwnerRow row;
    Commit commit;
    RowVersion expected;
    TimePoint sent_at;
  };

  struct Instance {
    InstanceId name;
    std::size_t zone = 0;
    std::uint64_t process = 0;  ///< Number of the process.
    bool running = false;
    bool leaving = false;
    TimePoint reads_slow_until;  ///< Of the owner row and of new jobs.
    std::optional<Ownership> ownership;
    std::unique_ptr<Dispatcher> dispatcher;
    Epoch epoch;  ///< Of the dispatcher.
    bool loaded = false;
    std::size_t jobs_read = 0;
    std::optional<OwnerWrite> in_flight;
    std::optional<Commit> pending;
  };

  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  struct DoneRun {
    RunNumber run;
    TimePoint ended_at;
    bool noted = false;  ///< Acknowledged without a lapse in between.
  };

  void After(Duration delay, std::function<void()> action);
  bool Happens(double probability);
  Duration Between(Duration low, Duration high);
  [[nodiscard]] bool IsCut(std::size_t zone) const;
  [[nodiscard]] bool CanTalk(std::size_t a, std::size_t b) const;
  /// @return when the zone's cut ends; in the past if it is not cut.
  [[nodiscard]] TimePoint CutUntil(std::size_t zone) const;
  [[nodiscard]] Now CurrentTime() const;

  // Faults and callers.
  void StartFault();
  void CutZone(std::size_t zone);
  /// Slows the table down, for reads by some instances only.
  void SlowTable();
  void Kill(Instance& instance, Duration restart_after);
  void StartProcess(Instance& instance);
  void SubmitJob();

  // Instances; as the dispatch duty and the store link do.
  void Tick(Instance& instance);
  void ReadOwnerRow(Instance& instance);
  void ReadJobs(Instance& instance);
  void AdvanceOwnership(Instance& instance);
  void Send(Instance& instance, OwnerWrite write);
  void Attempt(Instance& instance, std::uint64_t process, std::uint64_t write);
  void HandleAnswer(Instance& instance, std::optional<RowVersion> written);
  void BeginEpoch(Instance& instance, const OwnerRow& row);
  void Load(Instance& instance, std::uint64_t process, Epoch epoch);
  void StepDown(Instance& instance);
  void Feed(Instance& instance, DispatcherInput input);
  void Perform(Instance& instance, std::vector<DispatcherEffect> effects);
  void SendNextCommit(Instance& instance);

  // The table.
  [[nodiscard]] std::optional<RowVersion> CarryOut(const OwnerWrite& write);

  // Orders.
  void SendToWorker(Instance& instance, const SendOrder& order);
  [[nodiscard]] OrderOutcome CarryOut(ModelWorker& worker,
                                      const SendOrder& order,
                                      std::uint64_t epoch);
  void StartOn(ModelWorker& worker, const StartRun& start);
  void Trace(const JobId& job, const std::string& what);
  void TraceDecision(const Instance& instance, const Decision& decision);
  void Violate(const std::string& what);
  void CheckEnds();

  ModelSettings settings_;
  std::mt19937_64 random_;
  TimePoint now_{1h};
  TimePoint faults_end_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_write_ = 0;
  std::vector<Instance> instances_;
  std::map<WorkerName, ModelWorker> workers_;
  std::map<std::size_t, TimePoint> cut_until_;
  TimePoint slow_until_;
  int successors_to_kill_ = 0;  ///< Soon after they have claimed the cell.
  std::shared_ptr<const ConfigurationSnapshot> configuration_;
  // The table.
  OwnerRow row_;
  RowVersion version_;
  std::vector<std::pair<TimePoint, AcceptedJob>> jobs_;
  std::map<std::pair<JobId, std::uint32_t>, JobProgress> progress_;
  std::map<WorkerName, WorkerEnrolled> enrolled_;
  std::set<JobId> completed_;
  // What has happened.
  std::map<JobId, Duration> work_;
  std::map<TaskName, std::vector<DoneRun>> done_;
  std::map<TaskName, std::vector<TimePoint>> starts_;
  ModelResult result_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_TESTS_SUCCESSION_MODEL_MODEL_H_
