#include "jasminespar/scheduling/policy.h"

namespace jasminespar::scheduling {

QueuePolicy MakeQueuePolicy(QueuePolicyKind kind) {
  switch (kind) {
    case QueuePolicyKind::kFirstComeFirstServed:
      return FirstComeFirstServed{};
    case QueuePolicyKind::kDeclaredBackfill:
      return DeclaredBackfill{};
    case QueuePolicyKind::kLeastAttainedService:
      break;
  }
  return LeastAttainedService{};
}

PlacementPolicy MakePlacementPolicy(PlacementPolicyKind kind) {
  return kind == PlacementPolicyKind::kFirstFit ? PlacementPolicy{FirstFit{}}
                                                : PlacementPolicy{BestFit{}};
}

}  // namespace jasminespar::scheduling
