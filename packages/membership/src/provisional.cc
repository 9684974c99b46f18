#include "jasminespar/membership/provisional.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "jasminespar/core/digest.h"

namespace jasminespar::membership {
namespace {

bool HasLiveOwner(const View& view, const CellId& cell) {
  const CellOwner* known = view.FindCell(cell);
  if (known == nullptr || known->owner == view.self) return false;
  const Member* owner = view.FindMember(known->owner);
  return owner != nullptr && owner->state != MemberState::kSuspected;
}

}  // namespace

std::optional<Epoch> NextProvisionalEpoch(const Epoch& highest,
                                          const InstanceId& instance,
                                          std::uint64_t incarnation) {
  constexpr std::uint32_t kSlots = 1U << kProvisionalSlotBits;
  constexpr std::uint32_t kLastRound =
      std::numeric_limits<std::uint32_t>::max() / kSlots;
  const std::uint32_t next_round = highest.provisional / kSlots + 1;
  if (next_round > kLastRound) return std::nullopt;
  // Hashed as one text, as XXH3 gives equal values for short texts whose seeds
  // differ by little.
  const Digest identity =
      DigestOf(instance.value + "/" + std::to_string(incarnation));
  const auto slot = static_cast<std::uint32_t>(identity.value % kSlots);
  return Epoch{highest.durable, next_round * kSlots + slot};
}

ProvisionalPlanner::ProvisionalPlanner(const ProvisionalSettings& settings,
                                       InstanceId self,
                                       std::uint64_t incarnation)
    : settings_(settings), self_(std::move(self)), incarnation_(incarnation) {}

std::vector<ProvisionalAction> ProvisionalPlanner::Plan(
    const View& view, const std::vector<ProvisionalCandidate>& cells,
    std::optional<TimePoint> store_down_since, TimePoint now) {
  std::vector<ProvisionalAction> actions;
  const Candidates candidates(view);
  const bool store_unreachable =
      store_down_since &&
      now - *store_down_since >= settings_.store_outage_delay;
  for (const ProvisionalCandidate& cell : cells) {
    Epoch& highest = highest_epochs_[cell.cell];
    highest = std::max(highest, cell.row_epoch);
    const CellOwner* known = view.FindCell(cell.cell);
    if (known != nullptr) highest = std::max(highest, known->epoch);

    const auto attempt = attempts_.find(cell.cell);
    if (attempt != attempts_.end()) {
      const bool timed_out =
          !attempt->second.serving &&
          now - attempt->second.started > settings_.lease_timeout;
      const bool superseded = IsSuperseded(view, cell, attempt->second);
      if (timed_out || superseded) {
        if (!superseded) unused_epochs_[cell.cell] = attempt->second.epoch;
        actions.emplace_back(EndProvisional{cell.cell, attempt->second.epoch});
        attempts_.erase(attempt);
        ownerless_since_.erase(cell.cell);
      }
    } else if (store_unreachable && IsDue(view, candidates, cell.cell, now)) {
      const std::optional<Epoch> epoch = ChooseEpoch(cell.cell);
      if (!epoch) continue;
      attempts_[cell.cell] =
          Attempt{*epoch, now, cell.workers.size(), {}, false};
      actions.emplace_back(RequestLeases{cell.cell, *epoch});
    }
  }
  return actions;
}

std::optional<Epoch> ProvisionalPlanner::ChooseEpoch(const CellId& cell) {
  Epoch& highest = highest_epochs_[cell];
  const auto unused = unused_epochs_.find(cell);
  if (unused != unused_epochs_.end() && unused->second == highest) {
    return highest;
  }
  const std::optional<Epoch> next =
      NextProvisionalEpoch(highest, self_, incarnation_);
  if (next) highest = *next;
  return next;
}

bool ProvisionalPlanner::IsDue(const View& view, const Candidates& candidates,
                               const CellId& cell, TimePoint now) {
  const std::optional<std::size_t> rank = candidates.RankOf(cell, self_);
  if (!rank || HasLiveOwner(view, cell)) {
    ownerless_since_.erase(cell);
    return false;
  }
  const TimePoint since = ownerless_since_.try_emplace(cell, now).first->second;
  return now - since >=
         settings_.claim_stagger * static_cast<Duration::rep>(*rank);
}

bool ProvisionalPlanner::IsSuperseded(const View& view,
                                      const ProvisionalCandidate& candidate,
                                      const Attempt& attempt) const {
  if (candidate.row_epoch > attempt.epoch) return true;
  const CellOwner* known = view.FindCell(candidate.cell);
  return known != nullptr && known->epoch > attempt.epoch;
}

std::vector<ProvisionalAction> ProvisionalPlanner::HandleLeaseGranted(
    const CellId& cell, const Epoch& epoch, WorkerId worker) {
  std::vector<ProvisionalAction> actions;
  const auto found = attempts_.find(cell);
  if (found == attempts_.end() || found->second.epoch != epoch) return actions;
  Attempt& attempt = found->second;
  attempt.granted.insert(worker);
  if (!attempt.serving && 2 * attempt.granted.size() > attempt.worker_count) {
    attempt.serving = true;
    actions.emplace_back(ServeProvisionally{cell, epoch});
  }
  return actions;
}

std::vector<ProvisionalAction> ProvisionalPlanner::HandleLeaseRefused(
    const CellId& cell, const Epoch& epoch) {
  std::vector<ProvisionalAction> actions;
  const auto found = attempts_.find(cell);
  if (found == attempts_.end() || found->second.epoch != epoch) return actions;
  actions.emplace_back(EndProvisional{cell, epoch});
  attempts_.erase(found);
  ownerless_since_.erase(cell);
  return actions;
}

void ProvisionalPlanner::HandleDurableEpoch(const CellId& cell) {
  attempts_.erase(cell);
  ownerless_since_.erase(cell);
}

bool ProvisionalPlanner::IsServing(const CellId& cell) const {
  const auto found = attempts_.find(cell);
  return found != attempts_.end() && found->second.serving;
}

}  // namespace jasminespar::membership
