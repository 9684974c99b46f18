#include "jasminespar/scheduling/policy.h"

namespace jasminespar::scheduling {
namespace {

constexpr std::int64_t kLevelFactor = 10;

}  // namespace

std::uint8_t LevelOfService(const LeastAttainedService& policy,
                            Duration service) {
  std::uint8_t level = 0;
  Duration bound = policy.first_level_limit;
  while (service >= bound && level + 1U < kServiceLevels) {
    ++level;
    bound *= kLevelFactor;
  }
  return level;
}

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
