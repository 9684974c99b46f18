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
#include "worker.h"

namespace jasminespar::jobs {

/// What befalls the modelled site.
enum class FaultMix : std::uint8_t {
  kRandom,      ///< Faults of every kind at random times.
  kOneHandOver  ///< One hand-over, without any other fault than `disturbed`.
};

/// What happens to one message of a hand-over.
enum class Disturbance : std::uint8_t {
  kLost,      ///< It has no effect and gets no answer.
  kLate,      ///< It takes effect seconds later; its sender gives it up.
  kUnheard,   ///< It takes effect; its answer is lost.
  kKilled,    ///< Its sender's process ends as it leaves.
  kStanding,  ///< Its sender's process stands still as it leaves.
};

inline constexpr std::size_t kDisturbances = 5;

struct DisturbedMessage {
  std::size_t message = 0;  ///< Number of the message within the hand-over.
  Disturbance how = Disturbance::kLost;
};

struct ModelSettings {
  std::uint64_t seed = 1;
  JobId traced;  ///< Printed is what happens to this job; empty: none.
  FaultMix mix = FaultMix::kRandom;
  std::vector<DisturbedMessage> disturbed;  ///< Of one hand-over.
  Duration fault_duration = 60s;            ///< Faults begin and jobs come,
  Duration settle_duration = 240s;          ///< then all jobs have to complete.
};

struct ModelResult {
  std::vector<std::string> violations;
  std::size_t jobs = 0;
  std::size_t completed = 0;
  std::size_t starts = 0;
  std::size_t takeovers = 0;
  std::size_t worker_restarts = 0;
  std::size_t concluded = 0;  ///< Runs held to be over without a listed end.
  std::size_t messages = 0;   ///< Of the hand-over.
  /// Least time from the end of a lease on its worker until an owner concluded
  /// that what it held was over.
  std::optional<Duration> least_margin;
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
    TimePoint sent_at;  ///< On the instance's clock.
  };

  struct Instance {
    InstanceId name;
    std::size_t zone = 0;
    double rate = 1.0;          ///< Of its steady clock.
    Duration wall_offset{};     ///< Of its time of day.
    std::uint64_t process = 0;  ///< Number of the process.
    bool running = false;
    bool leaving = false;
    TimePoint stands_until;
    TimePoint unheard_until;     ///< Answers to its writes are lost.
    TimePoint reads_slow_until;  ///< Of the owner row and of new jobs.
    TimePoint jobs_slow_until;   ///< Reads of new jobs alone.
    std::optional<Ownership> ownership;
    std::unique_ptr<Dispatcher> dispatcher;
    Epoch epoch;  ///< Of the dispatcher.
    bool loaded = false;
    std::size_t jobs_read = 0;
    /// Entries of the platform's list, as they were last read.
    std::map<WorkerName, WorkerEntry> list_read;
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

  struct LastEnd {
    WorkerName worker;
    RunEnding ending = RunEnding::kDone;
    TimePoint at;
  };

  struct StartedRun {
    RunNumber run;
    TimePoint at;
  };

  // Time and chance.
  void After(Duration delay, std::function<void()> action);
  /// Calls the action in the instance's present process, once that is awake.
  void Later(Instance& instance, Duration delay, std::function<void()> action);
  bool Happens(double probability);
  /// @return whether a random fault befalls a message.
  bool Befalls(double probability) {
    return settings_.mix == FaultMix::kRandom && Happens(probability);
  }
  Duration Between(Duration low, Duration high);
  [[nodiscard]] bool IsCut(std::size_t zone) const;
  [[nodiscard]] bool CanTalk(std::size_t a, std::size_t b) const;
  /// @return when the zone's cut ends; in the past if it is not cut.
  [[nodiscard]] TimePoint CutUntil(std::size_t zone) const;
  /// @return the time on the instance's own clocks.
  [[nodiscard]] Now TimeOf(const Instance& instance) const;
  [[nodiscard]] TimePoint SteadyOf(const Instance& instance) const {
    return TimeOf(instance).steady;
  }
  /// Numbers a message of the hand-over that is played, if any.
  /// @return what the settings say happens to it.
  std::optional<Disturbance> NextMessage();

  // faults.cc: faults and callers.
  void StartFault();
  void StartOwnerFault(Instance& owner, int kind);
  void PlayHandOver();
  [[nodiscard]] Instance* FindOwner();
  void CutZone(std::size_t zone, Duration duration);
  /// Slows the table down, for reads by some instances only.
  void SlowTable();
  void Stand(Instance& instance, Duration duration);
  void Kill(Instance& instance, Duration restart_after);
  void StartProcess(Instance& instance);
  void SubmitJob();
  [[nodiscard]] AcceptedJob DrawJob();
  ModelWorker& AnyWorker();
  void RestartWorker(ModelWorker& worker);
  /// It drains, exits, and comes back as a new process under its name.
  void DrainWorker(ModelWorker& worker);
  /// Workers write their entries; those of silent ones expire.
  void KeepList();

  // instances.cc: as the dispatch duty does.
  void Tick(Instance& instance);
  void AdvanceOwnership(Instance& instance);
  void BeginEpoch(Instance& instance, const OwnerRow& row);
  void StepDown(Instance& instance);
  void Feed(Instance& instance, DispatcherInput input);
  void Perform(Instance& instance, std::vector<DispatcherEffect> effects);

  // table.cc: the table, and reads and writes of it.
  void ReadOwnerRow(Instance& instance);
  void ReadJobs(Instance& instance);
  void ReadWorkers(Instance& instance);
  void Load(Instance& instance, Epoch epoch);
  void Send(Instance& instance, OwnerWrite write);
  void SendNextCommit(Instance& instance);
  void Attempt(Instance& instance, std::uint64_t write);
  void HandleAnswer(Instance& instance, std::optional<RowVersion> written);
  [[nodiscard]] std::optional<RowVersion> CarryOut(const OwnerWrite& write);

  // orders.cc: orders to workers.
  void SendToWorker(Instance& instance, const SendOrder& order);
  void Deliver(Instance& instance, const SendOrder& order, Epoch epoch);
  /// It reaches the worker, however its sender has fared since.
  void Arrive(Instance& instance, std::uint64_t process, const SendOrder& order,
              Epoch epoch, TimePoint sent_at, bool lost);
  void Answer(Instance& instance, const SendOrder& order, Epoch epoch,
              Duration delay, const OrderOutcome& outcome);
  void DeliverLate(const SendOrder& order, Epoch epoch, Duration delay);
  [[nodiscard]] OrderOutcome CarryOut(ModelWorker& worker,
                                      const SendOrder& order,
                                      std::uint64_t epoch);
  OrderOutcome CarryOutStart(ModelWorker& worker, const SendOrder& order,
                             const StartRun& start);
  OrderOutcome CarryOutStop(ModelWorker& worker, const StopRun& stop);
  OrderOutcome CarryOutPoll(ModelWorker& worker, const PollWorker& poll,
                            std::uint64_t epoch);

  // checks.cc: what runs, and whether it may.
  void StartOn(ModelWorker& worker, const StartRun& start);
  /// Lets the members of a gang work once all of them are there.
  void BeginGang(const TaskName& member, RunNumber run);
  void HandleEnd(const ModelWorker& worker, const EndedRun& end, TimePoint now);
  /// Ends the other members of the gang run.
  void BreakGang(const TaskName& member, RunNumber run);
  void NoteAcknowledged(ModelWorker& worker, std::uint64_t acknowledge_to,
                        std::uint64_t epoch);
  /// A run that counts as over must be.
  void CheckConclusion(const Instance& owner, const RunConcluded& concluded);
  void CheckEnds();
  [[nodiscard]] const StepSpec& SpecOf(const TaskName& task) const;
  void Trace(const JobId& job, const std::string& what);
  void TraceDecision(const Instance& instance, const Decision& decision);
  void Violate(const std::string& what);

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
  int successors_to_kill_ = 0;    ///< Soon after they have claimed the cell.
  bool counts_messages_ = false;  ///< The hand-over is under way.
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
  std::map<JobId, JobSpec> specs_;
  std::map<TaskName, std::vector<DoneRun>> done_;
  std::map<TaskName, std::vector<StartedRun>> starts_;
  std::map<TaskName, LastEnd> ended_;  ///< Of the task's last listed run.
  ModelResult result_;
};

/// @return JOB.STEP.INDEX.
[[nodiscard]] std::string NameOf(const TaskName& task);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_TESTS_SUCCESSION_MODEL_MODEL_H_
