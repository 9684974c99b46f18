#include "jasminespar/scheduling/allocator.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "jasminespar/scheduling/invariant.h"
#include "jasminespar/scheduling/placement.h"

namespace jasminespar::scheduling {
namespace {

/// Calls `visit` with the index of each set bit.
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
  const std::size_t accelerators =
      IndexOf(static_cast<WorkerIndex>(tree_.workers().size()), 0);
  holder_.assign(accelerators, kNoJob);
  claimer_.assign(accelerators, kNoJob);
}

Gang& Allocator::MutableGang(JobIndex job) {
  if (job >= gangs_.size()) gangs_.resize(job + 1);
  return gangs_[job];
}

std::optional<AllocationResult> Allocator::AllocateGuaranteed(
    const GangRequest& request, ReclaimRule rule) {
  auto plan =
      PlanInGuarantee(tree_, clusters_, request.account, request.shape, rule);
  if (!plan) return std::nullopt;
  return Commit(request, HoldClass::kGuaranteed, std::move(plan->parts),
                std::move(plan->uses));
}

std::optional<AllocationResult> Allocator::AllocateFree(
    const GangRequest& request) {
  if (tree_.free() < static_cast<std::uint32_t>(request.shape.accelerators)) {
    return std::nullopt;
  }
  return PlaceOutsideGuarantee(request, nullptr);
}

std::optional<AllocationResult> Allocator::AllocatePreempting(
    const GangRequest& request, const PreemptibleMasks& preemptible) {
  return PlaceOutsideGuarantee(request, &preemptible);
}

Candidates Allocator::FindCandidates(
    const GangRequest& request, const PreemptibleMasks* preemptible) const {
  Candidates candidates;
  candidates.reserve(tree_.workers().size());
  for (WorkerIndex w = 0; w < tree_.workers().size(); ++w) {
    const TreeWorker& worker = tree_.workers()[w];
    if (!worker.usable()) continue;
    std::uint64_t allowed = worker.all & ~worker.claimed;
    if (!request.reclaimable) {
      allowed &= ~worker.bound;
      if (preemptible == nullptr) allowed &= ~worker.reserved;
    }
    const std::uint64_t free = worker.free() & allowed;
    std::uint64_t eligible = free;
    if (preemptible != nullptr) {
      eligible |= (*preemptible)[w] & allowed & ~worker.nonreclaimable;
    }
    if (eligible != 0) candidates.push_back({w, eligible, free});
  }
  return candidates;
}

std::optional<AllocationResult> Allocator::PlaceOutsideGuarantee(
    const GangRequest& request, const PreemptibleMasks* preemptible) {
  auto parts = FindPlacement(
      placement_, tree_, FindCandidates(request, preemptible), request.shape);
  if (!parts) return std::nullopt;
  if (request.reclaimable) {
    return Commit(request, HoldClass::kBorrowed, std::move(*parts), {});
  }
  const auto mark = [&](bool nonreclaimable) {
    for (const GangPart& part : *parts) {
      tree_.Update(part.worker, [&](TreeWorker& worker) {
        worker.nonreclaimable = nonreclaimable
                                    ? worker.nonreclaimable | part.mask
                                    : worker.nonreclaimable & ~part.mask;
      });
    }
  };
  mark(true);
  const bool permitted = clusters_.Permits(tree_);
  mark(false);
  if (!permitted) return std::nullopt;
  return Commit(request, HoldClass::kFirm, std::move(*parts), {});
}

void Allocator::CancelClaims(const std::vector<GangPart>& parts,
                             std::vector<JobIndex>& cancelled_claims) {
  for (const GangPart& part : parts) {
    const std::uint64_t held = tree_.workers()[part.worker].held & part.mask;
    ForEachBit(held, [&](int bit) {
      const JobIndex holder = holder_[IndexOf(part.worker, bit)];
      if (holder == kNoJob) return;  // Freed with an earlier claim.
      if (gangs_[holder].state != GangState::kClaiming) return;
      Release(holder);
      cancelled_claims.push_back(holder);
    });
  }
}

AllocationResult Allocator::Commit(const GangRequest& request, HoldClass hold,
                                   std::vector<GangPart> parts,
                                   std::vector<BindingUse> uses) {
  AllocationResult result;
  CancelClaims(parts, result.cancelled_claims);
  Gang& gang = MutableGang(request.job);
  Ensure(gang.state == GangState::kNone, "gang allocated twice");
  gang = Gang{GangState::kHeld, hold, request, std::move(parts),
              std::move(uses),  0};
  std::vector<JobIndex> victims;
  for (const GangPart& part : gang.parts) HoldPart(part, gang, victims);
  std::sort(victims.begin(), victims.end());
  victims.erase(std::unique(victims.begin(), victims.end()), victims.end());
  for (const JobIndex victim : victims) {
    if (gangs_[victim].state == GangState::kReclaiming) continue;
    Ensure(gangs_[victim].state == GangState::kHeld &&
               gangs_[victim].hold == HoldClass::kBorrowed,
           "victim is not a borrowed gang");
    gangs_[victim].state = GangState::kReclaiming;
    result.victims.push_back(victim);
  }
  if (gang.pending_accelerators > 0) gang.state = GangState::kClaiming;
  result.ready = gang.pending_accelerators == 0;
  return result;
}

void Allocator::HoldPart(const GangPart& part, Gang& gang,
                         std::vector<JobIndex>& victims) {
  std::uint64_t taken = 0;
  tree_.Update(part.worker, [&](TreeWorker& worker) {
    Ensure((worker.claimed & part.mask) == 0, "accelerator claimed twice");
    Ensure((worker.nonreclaimable & part.mask) == 0,
           "guaranteed or firm accelerator allocated twice");
    taken = part.mask & worker.held;
    worker.claimed |= taken;
    worker.held |= part.mask;
    if (gang.hold != HoldClass::kBorrowed) worker.nonreclaimable |= part.mask;
  });
  ForEachBit(part.mask, [&](int bit) {
    const std::size_t index = IndexOf(part.worker, bit);
    if ((taken >> static_cast<unsigned>(bit) & 1U) != 0) {
      victims.push_back(holder_[index]);
      claimer_[index] = gang.request.job;
      ++gang.pending_accelerators;
    } else {
      holder_[index] = gang.request.job;
    }
  });
}

std::vector<JobIndex> Allocator::Release(JobIndex job) {
  std::vector<JobIndex> ready;
  if (!Holds(job)) return ready;
  Gang gang = std::exchange(gangs_[job], Gang{});
  const bool nonreclaimable = gang.hold != HoldClass::kBorrowed;
  for (const GangPart& part : gang.parts) {
    ReleasePart(part, job, nonreclaimable, ready);
  }
  bool damaged = false;
  for (const BindingUse& use : gang.uses) {
    damaged = damaged || IsDamaged(use.binding);
    clusters_.RemoveUse(tree_, use.binding, use.accelerators);
  }
  // A shape with an unusable worker may have become unbound without a place to
  // bind it again.
  if (damaged) clusters_.AcceptDeficit(tree_);
  return ready;
}

void Allocator::ReleasePart(const GangPart& part, JobIndex job,
                            bool nonreclaimable, std::vector<JobIndex>& ready) {
  std::uint64_t freed = 0;
  std::uint64_t transferred = 0;
  std::uint64_t cancelled = 0;
  ForEachBit(part.mask, [&](int bit) {
    const std::size_t index = IndexOf(part.worker, bit);
    const std::uint64_t mask = 1ULL << static_cast<unsigned>(bit);
    if (holder_[index] != job) {
      cancelled |= mask;  // A victim still holds it.
      claimer_[index] = kNoJob;
      return;
    }
    holder_[index] = std::exchange(claimer_[index], kNoJob);
    if (holder_[index] == kNoJob) {
      freed |= mask;
      return;
    }
    transferred |= mask;
    Gang& claimer = gangs_[holder_[index]];
    if (--claimer.pending_accelerators == 0) {
      claimer.state = GangState::kHeld;
      ready.push_back(holder_[index]);
    }
  });
  tree_.Update(part.worker, [&](TreeWorker& worker) {
    worker.held &= ~freed;
    worker.claimed &= ~(transferred | cancelled);
    if (nonreclaimable) worker.nonreclaimable &= ~(freed | cancelled);
  });
}

bool Allocator::Adopt(const GangRequest& request,
                      const std::vector<GangPart>& parts) {
  std::vector<GangPart> held;
  for (const GangPart& part : parts) {
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

std::optional<std::vector<GangPart>> Allocator::ChooseReservation(
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

void Allocator::SetReserved(const std::vector<GangPart>& parts) {
  ClearReserved();
  reserved_ = parts;
  for (const GangPart& part : reserved_) {
    tree_.Update(part.worker,
                 [&](TreeWorker& worker) { worker.reserved |= part.mask; });
  }
}

void Allocator::ClearReserved() {
  for (const GangPart& part : reserved_) {
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
  Ensure(clusters_.IsFeasible(tree_),
         "decision broke the feasibility rule of guarantees");
  clusters_.TightenDeficit(tree_);
}

}  // namespace jasminespar::scheduling
