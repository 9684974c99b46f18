#include "scheduling/random_cell.h"

#include <algorithm>
#include <bit>
#include <variant>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::scheduling {
namespace {

constexpr int kAccounts = 5;

void Expect(bool condition, const std::string& what) {
  if (!condition) throw std::runtime_error("model: " + what);
}

configuration::CellTopology MakeTopology(const RandomCellShape& shape) {
  configuration::CellTopology topology{CellId{"dc-a/0"}, {}};
  for (std::uint32_t i = 0; i < shape.workers; ++i) {
    configuration::Worker worker;
    worker.id = WorkerId{i + 1};
    worker.rack = i / shape.workers_per_rack;
    worker.accelerators = shape.accelerators;
    topology.workers.push_back(worker);
  }
  return topology;
}

}  // namespace

RandomCell::RandomCell(const RandomCellShape& shape,
                       const PolicySettings& settings, std::uint64_t seed)
    : shape_(shape),
      random_(seed),
      topology_(MakeTopology(shape)),
      scheduler_(settings, topology_) {
  ChangeShare();
}

void RandomCell::Step() {
  now_ += Duration{Random(400'000)};
  const int kind = Random(1000);
  if (kind < 400) {
    for (int i = Random(4); i >= 0; --i) Enqueue(RandomJob());
  } else if (kind < 900) {
    EndRandomRunning();
  } else if (kind < 950) {
    FailRandomRunning();
  } else if (kind < 975) {
    CancelRandomWaiting();
  } else if (kind < 990) {
    ChangeWorkers();
  } else {
    ChangeShare();
  }
  Decide();
  EndReclaimed(false);
}

Job RandomCell::RandomJob() {
  static constexpr int kSizes[] = {1, 1, 1, 1, 2, 2, 3, 4, 5, 8, 16, 24, 64};
  Job job = MakeJob(next_id_++, "account-" + std::to_string(Random(kAccounts)),
                    kSizes[static_cast<std::size_t>(Random(13))],
                    static_cast<Adjacency>(Random(3)));
  job.service = ServiceId{"service-" + std::to_string(Random(3))};
  job.priority = static_cast<Priority>(Random(3));
  job.reclaimable = Random(4) != 0;
  job.arrival = now_;
  job.deadline = now_ + Duration{1'000'000 + Random(120'000'000)};
  return job;
}

void RandomCell::Enqueue(const Job& job) {
  if (const auto refusal = scheduler_.Enqueue(job, now_)) {
    Expect(refusal->verdict == Verdict::kNotRun,
           "refused a job that may have run");
    return;
  }
  waiting_.emplace(job.id, job);
}

void RandomCell::CancelRandomWaiting() {
  std::vector<CallId> ids;
  for (const auto& [id, job] : waiting_) ids.push_back(id);
  for (const CallId& id : ids) {
    if (Random(2) == 0) continue;
    Expect(scheduler_.Remove(id), "a waiting job could not be removed");
    waiting_.erase(id);
  }
}

void RandomCell::EndRandomRunning() {
  if (running_.empty()) return;
  for (int i = Random(3); i >= 0 && !running_.empty(); --i) {
    auto entry = running_.begin();
    std::advance(entry, Random(static_cast<int>(running_.size())));
    const CallId id = entry->first;
    for (const Allocation& part : entry->second.placement.parts) {
      scheduler_.RecordResult(id, part.worker, TaskResult::kSucceeded, now_);
    }
    End(id);
  }
}

void RandomCell::FailRandomRunning() {
  if (running_.empty()) return;
  auto entry = running_.begin();
  std::advance(entry, Random(static_cast<int>(running_.size())));
  Job job = entry->second.job;
  const WorkerId worker = entry->second.placement.parts[0].worker;
  scheduler_.RecordResult(job.id, worker, TaskResult::kFailed, now_);
  End(job.id);
  if (!scheduler_.IsPoison(job.id) && job.deadline > now_) Enqueue(job);
}

void RandomCell::End(const CallId& id) {
  for (const Allocation& part : running_.at(id).placement.parts) {
    held_[part.worker] &= ~part.accelerators;
  }
  running_.erase(id);
  scheduler_.Release(id, now_);
}

void RandomCell::EndReclaimed(bool all) {
  std::vector<Job> ended;
  for (const auto& [id, running] : running_) {
    if (running.reclaiming && (all || Random(3) == 0)) {
      ended.push_back(running.job);
    }
  }
  for (const Job& job : ended) {
    End(job.id);
    if (!all && job.deadline > now_) Enqueue(job);
  }
}

void RandomCell::ChangeWorkers() {
  for (configuration::Worker& worker : topology_.workers) {
    const bool leaving = worker.state != configuration::MachineState::kLive;
    if (Random(leaving ? 3 : 40) != 0) continue;
    worker.state = leaving ? configuration::MachineState::kLive
                           : configuration::MachineState::kLeaving;
  }
  leaving_.clear();
  configuration::CellTopology listed = topology_;
  if (Random(4) == 0 && listed.workers.size() > 1) {
    const WorkerId id = listed.workers.back().id;
    leaving_.insert(id);
    listed.workers.pop_back();
  }
  for (const auto& worker : listed.workers) {
    if (worker.state != configuration::MachineState::kLive) {
      leaving_.insert(worker.id);
    }
  }
  scheduler_.ApplyTopology(listed, now_);
}

void RandomCell::ChangeShare() {
  // Guarantees at most three quarters of the cell.
  share_.accounts.clear();
  std::int64_t left =
      static_cast<std::int64_t>(shape_.workers) * shape_.accelerators * 3 / 4;
  for (int a = 0; a < kAccounts; ++a) {
    auto account = MakeAccount("account-" + std::to_string(a), {});
    account.weight = 1 + Random(3);
    const std::int64_t sizes[] = {
        1, 2, 4, shape_.accelerators,
        static_cast<std::int64_t>(shape_.workers_per_rack) *
            shape_.accelerators};
    const int level = Random(5);
    const std::int64_t size = sizes[level];
    if (size <= shape_.accelerators ||
        shape_.workers >= shape_.workers_per_rack) {
      const auto count = std::min<std::int64_t>(left / size, 1 + Random(4));
      if (count > 0 && a > 0) {
        account.guarantees.push_back(
            {static_cast<configuration::ShapeLevel>(level),
             static_cast<std::uint32_t>(count)});
        left -= count * size;
      }
    }
    share_.accounts.push_back(std::move(account));
  }
  scheduler_.ApplyShare(share_, now_);
}

void RandomCell::Decide() {
  ++decisions_;
  for (const Action& action : scheduler_.Decide(now_)) {
    std::visit(Overloaded{[&](const auto& each) { Apply(each); }}, action);
  }
}

void RandomCell::Apply(const StartGang& start) {
  ++starts_;
  const auto found = waiting_.find(start.id);
  Expect(found != waiting_.end(), "started a job that does not wait");
  const Job& job = found->second;
  Expect(CountAccelerators(start.placement) == job.gang.accelerators,
         "started only a part of a gang");
  std::set<WorkerId> workers;
  std::set<std::uint64_t> racks;
  for (const Allocation& part : start.placement.parts) {
    Expect(workers.insert(part.worker).second, "two parts on one worker");
    racks.insert((part.worker.value - 1) / shape_.workers_per_rack);
    Expect((held_[part.worker] & part.accelerators) == 0,
           "accelerators allocated twice");
    held_[part.worker] |= part.accelerators;
  }
  if (job.gang.adjacency == Adjacency::kWorker) {
    Expect(workers.size() == 1, "a gang for one worker is on several");
  }
  if (job.gang.adjacency == Adjacency::kRack) {
    Expect(racks.size() == 1, "a gang for one rack is on several");
  }
  running_.emplace(start.id, Running{job, start.placement, false});
  waiting_.erase(found);
}

void RandomCell::Apply(const ReclaimGang& reclaim) {
  ++reclaims_;
  Running& running = running_.at(reclaim.id);
  Expect(!running.reclaiming, "reclaimed twice");
  Expect(running.job.reclaimable, "reclaimed a job that must not be");
  running.reclaiming = true;
}

void RandomCell::Apply(const DropJob& drop) {
  Expect(waiting_.erase(drop.id) == 1, "dropped a job that does not wait");
}

void RandomCell::EmptyCell() {
  std::vector<CallId> ids;
  for (const auto& [id, job] : waiting_) ids.push_back(id);
  for (const CallId& id : ids) Expect(scheduler_.Remove(id), "not removed");
  waiting_.clear();
  while (!running_.empty()) End(running_.begin()->first);
  topology_ = MakeTopology(shape_);
  leaving_.clear();
  scheduler_.ApplyTopology(topology_, now_);
  now_ += 1h;  // Ends all quarantines.
  Decide();
}

void RandomCell::FillWithBorrowers() {
  const auto total = static_cast<int>(shape_.workers) * shape_.accelerators;
  for (int i = 0; i < total; ++i) {
    Job job = MakeJob(next_id_++, "account-0", 1);
    job.reclaimable = Random(8) != 0;
    job.arrival = now_;
    job.deadline = now_ + 24h;
    Enqueue(job);
    if (Random(8) == 0) Decide();
  }
  Decide();
}

std::size_t RandomCell::EnqueueShapes() {
  std::vector<Job> jobs;
  for (const auto& account : share_.accounts) {
    for (const auto& guarantee : account.guarantees) {
      const int sizes[] = {
          1, 2, 4, shape_.accelerators,
          shape_.accelerators * static_cast<int>(shape_.workers_per_rack)};
      const int size = sizes[static_cast<std::size_t>(guarantee.level)];
      if (size > kMaxGangAccelerators) continue;
      for (std::uint32_t i = 0; i < guarantee.count; ++i) {
        Job job = MakeJob(next_id_++, account.id.value, size,
                          size <= shape_.accelerators ? Adjacency::kWorker
                                                      : Adjacency::kRack);
        job.arrival = now_;
        job.deadline = now_ + 24h;
        jobs.push_back(job);
      }
    }
  }
  std::shuffle(jobs.begin(), jobs.end(), random_);
  for (const Job& job : jobs) {
    Enqueue(job);
    if (Random(2) == 0) Decide();
  }
  return jobs.size();
}

void RandomCell::RequestAllGuarantees() {
  EmptyCell();
  ChangeShare();
  Expect(scheduler_.GuaranteeDeficits().empty(),
         "a feasible share has a deficit");
  FillWithBorrowers();
  const std::uint64_t first = next_id_;
  const std::size_t requested = EnqueueShapes();
  now_ += 1s;  // Exceeds the reclaim delay.
  Decide();
  EndReclaimed(true);
  Decide();
  std::size_t met = 0;
  for (const auto& [id, running] : running_) {
    if (id.low >= first) ++met;
  }
  Expect(met == requested, "requested " + std::to_string(requested) +
                               " guaranteed shapes, met " +
                               std::to_string(met));
  shapes_met_ += met;
  EmptyCell();
}

}  // namespace jasminespar::scheduling
