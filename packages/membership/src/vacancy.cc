#include "jasminespar/membership/vacancy.h"

namespace jasminespar::membership {
namespace {

bool IsServed(const View& view, const OwnershipRow& row) {
  const CellOwner* known = view.FindCell(row.cell);
  if (known == nullptr || known->owner.value.empty()) return false;
  if (known->owner == view.self || known->epoch < row.epoch) return false;
  const Member* member = view.FindMember(known->owner);
  return member != nullptr && member->state != MemberState::kSuspected;
}

}  // namespace

Vacancy VacancyOf(const View& view, const OwnershipRow& row) {
  if (IsServed(view, row)) return Vacancy::kNone;
  const CellOwner* known = view.FindCell(row.cell);
  if (known != nullptr && known->epoch.durable > row.epoch.durable) {
    return Vacancy::kOutdatedRow;
  }
  if (row.owner.value.empty()) return Vacancy::kReleased;
  if (row.owner == view.self) return Vacancy::kOwnRow;
  const Member* owner = view.FindMember(row.owner);
  if (owner == nullptr) return Vacancy::kUnknownOwner;
  return owner->state == MemberState::kSuspected ? Vacancy::kSuspectedOwner
                                                 : Vacancy::kSilentOwner;
}

}  // namespace jasminespar::membership
