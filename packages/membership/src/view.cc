#include "jasminespar/membership/view.h"

#include <algorithm>

namespace jasminespar::membership {

Duration LoadAge(const CellOwner& owner, TimePoint now) {
  return std::max(now - owner.load_received, Duration::zero());
}

const Member* View::FindMember(const InstanceId& id) const {
  const auto found =
      std::lower_bound(members.begin(), members.end(), id,
                       [](const Member& member, const InstanceId& key) {
                         return member.id < key;
                       });
  return found != members.end() && found->id == id ? &*found : nullptr;
}

const CellOwner* View::FindCell(const CellId& cell) const {
  const auto found =
      std::lower_bound(cells.begin(), cells.end(), cell,
                       [](const CellOwner& owner, const CellId& key) {
                         return owner.cell < key;
                       });
  return found != cells.end() && found->cell == cell ? &*found : nullptr;
}

}  // namespace jasminespar::membership
