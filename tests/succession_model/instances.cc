#include <algorithm>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "model.h"

namespace jasminespar::jobs {
namespace {

std::string NameOf(const TaskName& task) {
  return task.job.value + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

constexpr Duration kTickInterval = 100ms;
constexpr Duration kAttemptTimeout = 1s;
constexpr Duration kRetryDelay = 100ms;

}  // namespace

void Model::StartProcess(Instance& instance) {
  ++instance.process;
  instance.running = true;
  instance.leaving = false;
  const auto rank = static_cast<std::uint32_t>(&instance - instances_.data());
  instance.ownership.emplace(OwnershipSettings{}, instance.name, rank, now_);
  Tick(instance);
}

void Model::Kill(Instance& instance, Duration restart_after) {
  if (!instance.running) return;
  instance.running = false;
  ++instance.process;
  instance.dispatcher.reset();
  instance.in_flight.reset();
  instance.pending.reset();
  After(restart_after, [this, &instance] {
    if (!instance.running) StartProcess(instance);
  });
}

void Model::Tick(Instance& instance) {
  const std::uint64_t process = instance.process;
  After(kTickInterval, [this, &instance, process] {
    if (instance.running && instance.process == process) Tick(instance);
  });
  if (Happens(0.3)) ReadOwnerRow(instance);
  AdvanceOwnership(instance);
  if (instance.dispatcher == nullptr) return;
  if (instance.loaded &&
      Happens(now_ < instance.reads_slow_until ? 0.1 : 0.6)) {
    ReadJobs(instance);
  }
  if (instance.dispatcher == nullptr) return;
  Perform(instance, instance.dispatcher->Decide(
                        instance.ownership->AuthorityAt(now_), CurrentTime()));
}

void Model::ReadOwnerRow(Instance& instance) {
  if (IsCut(instance.zone)) return;
  const std::uint64_t process = instance.process;
  const OwnerRow row = row_;
  const RowVersion version = version_;
  const Duration back = now_ < instance.reads_slow_until ? Between(1ms, 900ms)
                                                         : Between(1ms, 10ms);
  After(back, [this, &instance, process, row, version] {
    if (!instance.running || instance.process != process) return;
    if (version.value == 0) {
      instance.ownership->HandleMissingOwnerRow(now_);
    } else if (instance.ownership->HandleOwnerRow(row, version, now_)) {
      StepDown(instance);
    }
    for (const Instance& peer : instances_) {
      if (!peer.running || !CanTalk(peer.zone, instance.zone)) continue;
      instance.ownership->HandlePeerHeartbeat(peer.name, now_);
    }
    AdvanceOwnership(instance);
  });
}

void Model::ReadJobs(Instance& instance) {
  if (IsCut(instance.zone)) return;
  const TimePoint as_of = now_;
  const std::size_t known = jobs_.size();
  const std::uint64_t process = instance.process;
  const Epoch epoch = instance.epoch;
  const Duration back =
      now_ < instance.reads_slow_until ? Between(50ms, 2s) : Between(1ms, 50ms);
  After(back, [this, &instance, process, epoch, as_of, known] {
    if (instance.process != process || instance.dispatcher == nullptr) return;
    if (instance.epoch != epoch) return;
    for (; instance.jobs_read < known; ++instance.jobs_read) {
      Feed(instance, JobLoaded{jobs_[instance.jobs_read].second, {}});
    }
    Feed(instance, JobRowsConfirmed{as_of});
    Feed(instance, WorkerListConfirmed{as_of});
  });
}

void Model::AdvanceOwnership(Instance& instance) {
  if (instance.in_flight) return;
  Ownership& ownership = *instance.ownership;
  OwnerWrite write;
  if (instance.leaving && ownership.owned()) {
    write.kind = OwnerWrite::Kind::kRelease;
    write.row = ownership.ReleasedRow(now_);
    Send(instance, std::move(write));
    return;
  }
  const OwnershipAction action = ownership.Next(now_);
  if (const auto* claim = std::get_if<ClaimCell>(&action)) {
    write.kind = OwnerWrite::Kind::kClaim;
    write.row = claim->row;
    Send(instance, std::move(write));
  } else if (std::holds_alternative<SendHeartbeat>(action)) {
    write.row = ownership.RenewedRow(now_);
    Send(instance, std::move(write));
  }
}

void Model::SendNextCommit(Instance& instance) {
  if (instance.in_flight || !instance.pending) return;
  OwnerWrite write;
  write.kind = OwnerWrite::Kind::kCommit;
  write.commit = *std::exchange(instance.pending, std::nullopt);
  write.row = instance.ownership->RenewedRow(now_);
  Send(instance, std::move(write));
}

void Model::Send(Instance& instance, OwnerWrite write) {
  write.row.write = ++last_write_;
  write.expected = instance.ownership->version();
  write.sent_at = now_;
  instance.in_flight = std::move(write);
  Attempt(instance, instance.process, instance.in_flight->row.write);
}

void Model::Attempt(Instance& instance, std::uint64_t process,
                    std::uint64_t write) {
  const auto is_current = [&instance, process, write] {
    return instance.process == process && instance.in_flight &&
           instance.in_flight->row.write == write;
  };
  const auto retry = [this, &instance, process, write, is_current] {
    if (is_current()) Attempt(instance, process, write);
  };
  const bool slow = now_ < slow_until_;
  if (IsCut(instance.zone)) {
    After(kAttemptTimeout + kRetryDelay, retry);
    return;
  }
  const OwnerWrite sent = *instance.in_flight;
  const Duration there = slow ? Between(1ms, 900ms) : Between(1ms, 10ms);
  const Duration back = slow ? Between(1ms, 900ms) : Between(1ms, 10ms);
  const bool lost = Happens(slow ? 0.3 : 0.02);
  After(there, [this, &instance, sent, lost, back, is_current] {
    // Once its process has ended, the table may still carry it out.
    std::optional<RowVersion> written = CarryOut(sent);
    if (lost) return;
    After(back, [this, &instance, written, is_current] {
      if (is_current() && !IsCut(instance.zone)) {
        HandleAnswer(instance, written);
      }
    });
  });
  After(kAttemptTimeout + kRetryDelay, retry);
}

std::optional<RowVersion> Model::CarryOut(const OwnerWrite& write) {
  if (write.expected != version_) {
    // A repeated attempt finds its own row.
    if (row_ == write.row) return version_;
    return std::nullopt;
  }
  row_ = write.row;
  ++version_.value;
  for (const JobProgress& each : write.commit.progress) {
    progress_[{each.job, each.first_task}] = each;
    if (each.phase == JobPhase::kCompleted) completed_.insert(each.job);
  }
  for (const WorkerEnrolled& each : write.commit.enrolled) {
    enrolled_[each.name] = each;
  }
  for (const WorkerName& each : write.commit.departed) enrolled_.erase(each);
  return version_;
}

void Model::HandleAnswer(Instance& instance,
                         std::optional<RowVersion> written) {
  const OwnerWrite write = *std::exchange(instance.in_flight, std::nullopt);
  Ownership& ownership = *instance.ownership;
  const bool claim = write.kind == OwnerWrite::Kind::kClaim;
  if (!written) {
    if (claim) {
      ownership.ClaimFailed(now_);
    } else {
      ownership.HandleOwnershipLost(now_);
      StepDown(instance);
    }
    return;
  }
  if (claim) {
    const bool owns =
        ownership.ClaimSucceeded(write.row, *written, write.sent_at, now_);
    if (owns) BeginEpoch(instance, write.row);
    return;
  }
  if (write.kind == OwnerWrite::Kind::kRelease) {
    ownership.HandleOwnershipLost(now_);
    StepDown(instance);
    return;
  }
  ownership.WriteSucceeded(write.row, *written, write.sent_at);
  if (write.kind == OwnerWrite::Kind::kCommit) {
    Feed(instance, CommitDone{write.commit.commit});
  }
  if (instance.leaving) {
    AdvanceOwnership(instance);
  } else {
    SendNextCommit(instance);
  }
}

void Model::BeginEpoch(Instance& instance, const OwnerRow& row) {
  ++result_.takeovers;
  Trace(settings_.traced,
        instance.name.value + " begins epoch " +
            std::to_string(row.epoch.durable) + ", others renew for " +
            std::to_string(ToMilliseconds(row.predecessors.renew)) +
            ", start for " +
            std::to_string(ToMilliseconds(row.predecessors.start)) + " ms");
  if (successors_to_kill_ > 0) {
    --successors_to_kill_;
    After(Between(0ms, 500ms), [this, &instance, process = instance.process] {
      if (instance.process == process) {
        Kill(instance, Between(100ms, 1s));
      }
    });
  }
  instance.epoch = row.epoch;
  instance.loaded = false;
  instance.pending.reset();
  instance.dispatcher = std::make_unique<Dispatcher>(
      DispatcherSettings{}, row.epoch, row.predecessors);
  Feed(instance, ConfigurationChanged{configuration_});
  const std::uint64_t process = instance.process;
  const Epoch epoch = instance.epoch;
  After(Between(1ms, now_ < slow_until_ ? 1500ms : 100ms),
        [this, &instance, process, epoch] { Load(instance, process, epoch); });
}

void Model::Load(Instance& instance, std::uint64_t process, Epoch epoch) {
  if (instance.process != process || instance.dispatcher == nullptr) return;
  if (instance.epoch != epoch) return;
  const auto retry = [this, &instance, process, epoch] {
    Load(instance, process, epoch);
  };
  if (IsCut(instance.zone)) {
    After(kRetryDelay, retry);
    return;
  }
  for (const auto& [name, worker] : enrolled_) Feed(instance, worker);
  for (const auto& [name, worker] : workers_) {
    Feed(instance, WorkerListed{worker.entry});
  }
  Feed(instance, WorkerListConfirmed{now_});
  for (const auto& [accepted_at, job] : jobs_) {
    std::vector<JobProgress> progress;
    auto at = progress_.lower_bound({job.id, 0});
    for (; at != progress_.end() && at->first.first == job.id; ++at) {
      progress.push_back(at->second);
    }
    Feed(instance, JobLoaded{job, std::move(progress)});
  }
  instance.jobs_read = jobs_.size();
  // The answers take their time.
  const Duration back =
      now_ < slow_until_ ? Between(1ms, 500ms) : Between(1ms, 20ms);
  After(back, [this, &instance, process, epoch] {
    if (instance.process != process || instance.dispatcher == nullptr) return;
    if (instance.epoch != epoch) return;
    instance.dispatcher->FinishLoading(now_);
    instance.loaded = true;
  });
}

void Model::StepDown(Instance& instance) {
  if (instance.dispatcher == nullptr) return;
  instance.dispatcher.reset();
  instance.pending.reset();
  instance.in_flight.reset();
}

void Model::Feed(Instance& instance, DispatcherInput input) {
  if (instance.dispatcher == nullptr) return;
  Perform(instance,
          instance.dispatcher->Handle(std::move(input), CurrentTime()));
}

void Model::Perform(Instance& instance, std::vector<DispatcherEffect> effects) {
  for (DispatcherEffect& effect : effects) {
    if (instance.dispatcher == nullptr) return;
    std::visit(
        Overloaded{
            [&](const SendOrder& order) { SendToWorker(instance, order); },
            [&](Commit& commit) {
              instance.pending = std::move(commit);
              SendNextCommit(instance);
            },
            [&](const Decision& decision) {
              TraceDecision(instance, decision);
            },
            [](const RunConcluded&) {},
            [&](const RunContradicted& contradicted) {
              Violate(NameOf(contradicted.task) + " run " +
                      std::to_string(contradicted.run.value) + " on " +
                      contradicted.worker.value + ": " +
                      std::string(
                          RowOf(kContradictionNames, contradicted.kind).name));
            },
            [&](const StageFailed& failed) {
              Violate("a stage failed: " + failed.fault);
            },
            [&](const ResignOwnership&) {
              instance.ownership->HandleOwnershipLost(now_);
              StepDown(instance);
            },
        },
        effect);
  }
}

}  // namespace jasminespar::jobs
