// The table of the model, and how instances read and write it.
#include <algorithm>
#include <utility>

#include "model.h"

namespace jasminespar::jobs {
namespace {

constexpr Duration kAttemptTimeout = 1s;
constexpr Duration kRetryDelay = 100ms;

}  // namespace

void Model::ReadOwnerRow(Instance& instance) {
  if (IsCut(instance.zone)) return;
  const OwnerRow row = row_;
  const RowVersion version = version_;
  const Duration back = now_ < instance.reads_slow_until ? Between(1ms, 900ms)
                                                         : Between(1ms, 10ms);
  Later(instance, back, [this, &instance, row, version] {
    const TimePoint now = SteadyOf(instance);
    if (version.value == 0) {
      instance.ownership->HandleMissingOwnerRow(now);
    } else if (instance.ownership->HandleOwnerRow(row, version, now)) {
      StepDown(instance);
    }
    for (const Instance& peer : instances_) {
      const bool heard = peer.running && now_ >= peer.stands_until &&
                         CanTalk(peer.zone, instance.zone);
      if (!heard) continue;
      instance.ownership->HandlePeerHeartbeat(peer.name, now);
    }
    AdvanceOwnership(instance);
  });
}

void Model::ReadJobs(Instance& instance) {
  if (IsCut(instance.zone)) return;
  const TimePoint as_of = SteadyOf(instance);
  const std::size_t known = jobs_.size();
  const bool slow =
      now_ < std::max(instance.reads_slow_until, instance.jobs_slow_until);
  const Duration back = slow ? Between(50ms, 2s) : Between(1ms, 50ms);
  Later(instance, back,
        [this, &instance, epoch = instance.epoch, as_of, known] {
          if (instance.dispatcher == nullptr || instance.epoch != epoch) return;
          for (; instance.jobs_read < known; ++instance.jobs_read) {
            Feed(instance, JobLoaded{jobs_[instance.jobs_read].second, {}});
          }
          Feed(instance, JobRowsConfirmed{as_of});
        });
}

void Model::ReadWorkers(Instance& instance) {
  if (IsCut(instance.zone)) return;
  const TimePoint as_of = SteadyOf(instance);
  std::map<WorkerName, WorkerEntry> list;
  for (const auto& [name, worker] : workers_) {
    if (worker.listed) list.emplace(name, worker.entry);
  }
  Later(instance, Between(1ms, 50ms),
        [this, &instance, epoch = instance.epoch, as_of, list] {
          if (instance.dispatcher == nullptr || instance.epoch != epoch) return;
          for (const auto& [name, entry] : list) {
            const auto known = instance.list_read.find(name);
            const bool same = known != instance.list_read.end() &&
                              known->second.clock == entry.clock;
            if (!same) Feed(instance, WorkerListed{entry});
          }
          for (const auto& [name, entry] :
               std::exchange(instance.list_read, list)) {
            if (!list.contains(name)) Feed(instance, WorkerUnlisted{name});
          }
          Feed(instance, WorkerListConfirmed{as_of});
        });
}

void Model::Load(Instance& instance, Epoch epoch) {
  if (instance.dispatcher == nullptr || instance.epoch != epoch) return;
  const std::optional<Disturbance> disturbed = NextMessage();
  if (disturbed == Disturbance::kKilled) return Kill(instance, 300ms);
  if (disturbed == Disturbance::kStanding) Stand(instance, 2s);
  if (IsCut(instance.zone) || disturbed == Disturbance::kLost) {
    Later(instance, kRetryDelay,
          [this, &instance, epoch] { Load(instance, epoch); });
    return;
  }
  for (const auto& [name, worker] : enrolled_) Feed(instance, worker);
  for (const auto& [name, worker] : workers_) {
    if (!worker.listed) continue;
    instance.list_read[name] = worker.entry;
    Feed(instance, WorkerListed{worker.entry});
  }
  Feed(instance, WorkerListConfirmed{SteadyOf(instance)});
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
  Duration back = now_ < slow_until_ ? Between(1ms, 500ms) : Between(1ms, 20ms);
  if (disturbed == Disturbance::kLate) back += 2s;
  Later(instance, back, [this, &instance, epoch] {
    if (instance.dispatcher == nullptr || instance.epoch != epoch) return;
    instance.dispatcher->FinishLoading(SteadyOf(instance));
    instance.loaded = true;
  });
}

void Model::SendNextCommit(Instance& instance) {
  if (instance.in_flight || !instance.pending) return;
  OwnerWrite write;
  write.kind = OwnerWrite::Kind::kCommit;
  write.commit = *std::exchange(instance.pending, std::nullopt);
  write.row = instance.ownership->RenewedRow(SteadyOf(instance));
  Send(instance, std::move(write));
}

void Model::Send(Instance& instance, OwnerWrite write) {
  const bool claim = write.kind == OwnerWrite::Kind::kClaim;
  if (!claim && write.row.epoch != instance.epoch) {
    Violate(instance.name.value + " writes under an epoch that it has not");
  }
  write.row.write = ++last_write_;
  write.expected = instance.ownership->version();
  write.sent_at = SteadyOf(instance);
  instance.in_flight = std::move(write);
  Attempt(instance, instance.in_flight->row.write);
}

void Model::Attempt(Instance& instance, std::uint64_t write) {
  const auto is_current = [&instance, write] {
    return instance.in_flight && instance.in_flight->row.write == write;
  };
  Later(instance, kAttemptTimeout + kRetryDelay,
        [this, &instance, write, is_current] {
          if (is_current()) Attempt(instance, write);
        });
  const std::optional<Disturbance> disturbed = NextMessage();
  if (disturbed == Disturbance::kStanding) Stand(instance, 2s);
  if (IsCut(instance.zone) || disturbed == Disturbance::kLost) return;
  const OwnerWrite sent = *instance.in_flight;
  const bool slow = now_ < slow_until_;
  Duration there = slow ? Between(1ms, 900ms) : Between(1ms, 10ms);
  // Carried out long after its writer gave it up.
  if (Befalls(slow ? 0.1 : 0.01)) there = Between(1s, 6s);
  if (disturbed == Disturbance::kLate) there = 3s;
  Duration back = slow ? Between(1ms, 900ms) : Between(1ms, 10ms);
  if (Befalls(0.01)) back = Between(1s, 4s);
  const bool lost = now_ < instance.unheard_until ||
                    Befalls(slow ? 0.3 : 0.02) ||
                    disturbed == Disturbance::kUnheard;
  const bool claim = sent.kind == OwnerWrite::Kind::kClaim;
  if (claim && Befalls(0.05)) {
    // Another instance may have claimed the cell by then.
    back = Between(4s, 9s);
    instance.unheard_until = now_ + back;
  }
  After(there, [this, &instance, process = instance.process, sent, lost, back,
                is_current] {
    // Once its process has ended, the table may still carry it out.
    std::optional<RowVersion> written = CarryOut(sent);
    if (lost || instance.process != process) return;
    Later(instance, back, [this, &instance, written, is_current] {
      if (is_current() && !IsCut(instance.zone)) {
        HandleAnswer(instance, written);
      }
    });
  });
  if (disturbed == Disturbance::kKilled) Kill(instance, 300ms);
  if (claim && Befalls(0.1)) Stand(instance, Between(500ms, 5s));
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
  const TimePoint now = SteadyOf(instance);
  const bool claim = write.kind == OwnerWrite::Kind::kClaim;
  if (!written) {
    if (claim) {
      ownership.ClaimFailed(now);
    } else {
      ownership.HandleOwnershipLost(now);
      StepDown(instance);
    }
    return;
  }
  if (claim) {
    const bool owns =
        ownership.ClaimSucceeded(write.row, *written, write.sent_at, now);
    if (owns) BeginEpoch(instance, write.row);
    return;
  }
  if (write.kind == OwnerWrite::Kind::kRelease) {
    ownership.HandleOwnershipLost(now);
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

}  // namespace jasminespar::jobs
