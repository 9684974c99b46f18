#include "jasminespar/scheduling/allocator.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "jasminespar/scheduling/invariant.h"
#include "jasminespar/scheduling/placement.h"

namespace jasminespar::scheduling {
namespace {

/// Calls `visit` with each set bit of the mask.
template <typename Visit>
void ForEachBit(std::uint64_t mask, Visit visit) {
  for (; mask != 0; mask &= mask - 1) visit(std::countr_zero(mask));
}

}  // namespace

Allocator::Allocator(const configuration::CellTopology& topology,
                     const PlacementPolicy& placement, Mutation mutation)
    : tree_(topology),
      clusters_(mutation),
      placement_(placement),
      mutation_(mutation) {
  const std::size_t cells =
      CellOf(static_cast<WorkerIndex>(tree_.workers().size()), 0);
  holder_.assign(cells, kNoJob);
  claimer_.assign(cells, kNoJob);
}

Gang& Allocator::Slot(JobIndex job) {
  if (job >= gangs_.size()) gangs_.resize(job + 1);
  return gangs_[job];
}

std::optional<Allocated> Allocator::AllocateGuaranteed(
    const GangRequest& request, ReclaimRule rule) {
  auto plan =
      PlanInGuarantee(tree_, clusters_, request.account, request.shape, rule);
  if (!plan) return std::nullopt;
  return Commit(request, HoldClass::kGuaranteed, std::move(plan->parts),
                std::move(plan->uses));
}

std::optional<Allocated> Allocator::AllocateSpare(const GangRequest& request) {
  if (tree_.free() < static_cast<std::uint32_t>(request.shape.accelerators)) {
    return std::nullopt;
  }
  return Place(request, nullptr);
}

std::optional<Allocated> Allocator::AllocateDisplacing(
    const GangRequest& request, const Displaceable& displaceable) {
  return Place(request, &displaceable);
}

Candidates Allocator::SpareCandidates(const GangRequest& request,
                                      const Displaceable* displaceable) const {
  Candidates candidates;
  candidates.reserve(tree_.workers().size());
  for (WorkerIndex w = 0; w < tree_.workers().size(); ++w) {
    const TreeWorker& worker = tree_.workers()[w];
    if (!worker.usable()) continue;
    std::uint64_t allowed = worker.all & ~worker.claimed;
    if (!request.reclaimable) {
      allowed &= ~worker.bound;
      if (displaceable == nullptr) allowed &= ~worker.reserved;
    }
    const std::uint64_t free = worker.free() & allowed;
    std::uint64_t eligible = free;
    if (displaceable != nullptr) {
      eligible |= (*displaceable)[w] & allowed & ~worker.firm;
    }
    if (eligible != 0) candidates.push_back({w, eligible, free});
  }
  return candidates;
}

std::optional<Allocated> Allocator::Place(const GangRequest& request,
                                          const Displaceable* displaceable) {
  auto parts = FindPlacement(
      placement_, tree_, SpareCandidates(request, displaceable), request.shape);
  if (!parts) return std::nullopt;
  if (request.reclaimable) {
    return Commit(request, HoldClass::kBorrowed, std::move(*parts), {});
  }
  const auto mark = [&](bool firm) {
    for (const Part& part : *parts) {
      tree_.Update(part.worker, [&](TreeWorker& worker) {
        worker.firm = firm ? worker.firm | part.mask : worker.firm & ~part.mask;
      });
    }
  };
  mark(true);
  const bool permitted = clusters_.Permits(tree_);
  mark(false);
  if (!permitted) return std::nullopt;
  return Commit(request, HoldClass::kFirm, std::move(*parts), {});
}

void Allocator::GiveUpClaims(const std::vector<Part>& parts,
                             std::vector<JobIndex>& returned) {
  for (const Part& part : parts) {
    const std::uint64_t held = tree_.workers()[part.worker].held & part.mask;
    ForEachBit(held, [&](int bit) {
      const JobIndex holder = holder_[CellOf(part.worker, bit)];
      if (holder == kNoJob) return;  // Freed by an earlier claim given up.
      if (gangs_[holder].state != GangState::kClaiming) return;
      Release(holder);
      returned.push_back(holder);
    });
  }
}

Allocated Allocator::Commit(const GangRequest& request, HoldClass hold,
                            std::vector<Part> parts,
                            std::vector<BindingUse> uses) {
  Allocated result;
  GiveUpClaims(parts, result.returned);
  Gang& gang = Slot(request.job);
  Ensure(gang.state == GangState::kNone, "gang allocated twice");
  gang = Gang{GangState::kHeld, hold, request, std::move(parts),
              std::move(uses),  0};
  std::vector<JobIndex> victims;
  for (const Part& part : gang.parts) HoldPart(part, gang, victims);
  std::sort(victims.begin(), victims.end());
  victims.erase(std::unique(victims.begin(), victims.end()), victims.end());
  for (const JobIndex victim : victims) {
    if (gangs_[victim].state == GangState::kReclaiming) continue;
    Ensure(gangs_[victim].state == GangState::kHeld &&
               gangs_[victim].hold == HoldClass::kBorrowed,
           "only borrowed gangs give way");
    gangs_[victim].state = GangState::kReclaiming;
    result.reclaim.push_back(victim);
  }
  if (gang.awaited > 0) gang.state = GangState::kClaiming;
  result.ready = gang.awaited == 0;
  return result;
}

void Allocator::HoldPart(const Part& part, Gang& gang,
                         std::vector<JobIndex>& victims) {
  std::uint64_t taken = 0;
  tree_.Update(part.worker, [&](TreeWorker& worker) {
    Ensure((worker.claimed & part.mask) == 0, "accelerator claimed twice");
    Ensure((worker.firm & part.mask) == 0, "firm accelerator allocated twice");
    taken = part.mask & worker.held;
    worker.claimed |= taken;
    worker.held |= part.mask;
    if (gang.hold != HoldClass::kBorrowed) worker.firm |= part.mask;
  });
  ForEachBit(part.mask, [&](int bit) {
    const std::size_t cell = CellOf(part.worker, bit);
    if ((taken >> static_cast<unsigned>(bit) & 1U) != 0) {
      victims.push_back(holder_[cell]);
      claimer_[cell] = gang.request.job;
      ++gang.awaited;
    } else {
      holder_[cell] = gang.request.job;
    }
  });
}

std::vector<JobIndex> Allocator::Release(JobIndex job) {
  std::vector<JobIndex> ready;
  if (!Holds(job)) return ready;
  Gang gang = std::exchange(gangs_[job], Gang{});
  const bool firm = gang.hold != HoldClass::kBorrowed;
  for (const Part& part : gang.parts) ReleasePart(part, job, firm, ready);
  bool damaged = false;
  for (const BindingUse& use : gang.uses) {
    damaged = damaged || IsDamaged(use.binding);
    clusters_.EndUse(tree_, use.binding, use.accelerators);
  }
  // A shape that had lost a worker now lacks a place altogether.
  if (damaged) clusters_.AcceptDeficit(tree_);
  return ready;
}

void Allocator::ReleasePart(const Part& part, JobIndex job, bool firm,
                            std::vector<JobIndex>& ready) {
  std::uint64_t freed = 0;
  std::uint64_t passed_on = 0;
  std::uint64_t given_up = 0;
  ForEachBit(part.mask, [&](int bit) {
    const std::size_t cell = CellOf(part.worker, bit);
    const std::uint64_t mask = 1ULL << static_cast<unsigned>(bit);
    if (holder_[cell] != job) {
      given_up |= mask;  // Claimed, but a victim still holds it.
      claimer_[cell] = kNoJob;
      return;
    }
    holder_[cell] = std::exchange(claimer_[cell], kNoJob);
    if (holder_[cell] == kNoJob) {
      freed |= mask;
      return;
    }
    passed_on |= mask;
    Gang& claimer = gangs_[holder_[cell]];
    if (--claimer.awaited == 0) {
      claimer.state = GangState::kHeld;
      ready.push_back(holder_[cell]);
    }
  });
  tree_.Update(part.worker, [&](TreeWorker& worker) {
    worker.held &= ~freed;
    worker.claimed &= ~(passed_on | given_up);
    if (firm) worker.firm &= ~(freed | given_up);
  });
}

bool Allocator::Adopt(const GangRequest& request,
                      const std::vector<Part>& parts) {
  std::vector<Part> held;
  for (const Part& part : parts) {
    const TreeWorker& worker = tree_.workers()[part.worker];
    const std::uint64_t mask = part.mask & worker.all & ~worker.held;
    if (mask != 0) held.push_back({part.worker, mask});
  }
  if (held.empty()) return false;
  auto uses = AdoptInGuarantee(tree_, clusters_, request.account, held);
  const HoldClass outside =
      request.reclaimable ? HoldClass::kBorrowed : HoldClass::kFirm;
  const HoldClass hold = uses ? HoldClass::kGuaranteed : outside;
  static_cast<void>(
      Commit(request, hold, std::move(held),
             std::move(uses).value_or(std::vector<BindingUse>{})));
  clusters_.AcceptDeficit(tree_);
  return true;
}

std::optional<std::vector<Part>> Allocator::ChooseReservation(
    const GangRequest& request) const {
  Candidates candidates;
  for (WorkerIndex w = 0; w < tree_.workers().size(); ++w) {
    const TreeWorker& worker = tree_.workers()[w];
    if (!worker.usable()) continue;
    std::uint64_t eligible = worker.all;
    if (!request.reclaimable) eligible &= ~worker.bound;
    if (eligible == 0) continue;
    candidates.push_back({w, eligible, worker.free() & eligible});
  }
  return FindPlacement(BestFit{}, tree_, candidates, request.shape);
}

void Allocator::SetReserved(const std::vector<Part>& parts) {
  ClearReserved();
  reserved_ = parts;
  for (const Part& part : reserved_) {
    tree_.Update(part.worker,
                 [&](TreeWorker& worker) { worker.reserved |= part.mask; });
  }
}

void Allocator::ClearReserved() {
  for (const Part& part : reserved_) {
    tree_.Update(part.worker,
                 [&](TreeWorker& worker) { worker.reserved &= ~part.mask; });
  }
  reserved_.clear();
}

bool Allocator::IsPossible(const GangShape& shape) const {
  return static_cast<std::uint32_t>(shape.accelerators) <=
         tree_.Capacity(shape.adjacency);
}

void Allocator::CheckDecision() {
  Ensure(clusters_.Holds(tree_), "a decision left a guarantee without cover");
  clusters_.TightenDeficit(tree_);
}

}  // namespace jasminespar::scheduling
