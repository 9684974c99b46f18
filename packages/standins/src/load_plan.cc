#include "jasminespar/standins/load_plan.h"

#include <algorithm>
#include <random>

namespace jasminespar::standins {

namespace {

/// A class of calls in the mix.
struct CallClass {
  double share = 0;  ///< Of the calls.
  int accelerators = 1;
  Adjacency adjacency = Adjacency::kAny;
  std::int64_t min_run_ms = 0;
  std::int64_t max_run_ms = 0;
};

constexpr CallClass kClasses[] = {
    {0.75, 1, Adjacency::kAny, 20, 150},
    {0.08, 2, Adjacency::kWorker, 100, 500},
    {0.08, 4, Adjacency::kWorker, 100, 500},
    {0.06, 8, Adjacency::kAny, 200, 800},
    {0.03, 16, Adjacency::kRack, 300, 1000},
};
constexpr double kBurstLength = 0.1;  ///< Share of the arrival period.
constexpr std::size_t kLargeAnswerBytes = 4096;

/// @param position 0 to 1, uniformly drawn.
const CallClass& ClassAt(double position) {
  for (const CallClass& entry : kClasses) {
    if (position < entry.share) return entry;
    position -= entry.share;
  }
  return kClasses[0];
}

/// Generates calls; the same seed gives the same mix.
class MixGenerator {
 public:
  explicit MixGenerator(const MixSettings& settings)
      : settings_(settings), random_(settings.seed) {}

  PlannedCall MakeCall(std::size_t number) {
    const CallClass& entry = ClassAt(Draw());
    PlannedCall call;
    call.gang = {entry.accelerators, entry.adjacency};
    call.directive.run_time =
        std::chrono::milliseconds(Between(entry.min_run_ms, entry.max_run_ms));
    if (Draw() < 0.1) call.directive.answer_bytes = kLargeAnswerBytes;
    if (Draw() < settings_.non_idempotent_share) {
      call.idempotence = Idempotence::kNonIdempotent;
    }
    call.arrival =
        Draw() < settings_.burst_share ? BurstTime() : TimeAt(Draw());
    SetKeyAndBody(call, number);
    return call;
  }

  PlannedCall MakeStraggler(std::size_t number) {
    PlannedCall call;
    call.gang = {8, Adjacency::kWorker};
    call.directive.run_time = settings_.arrival_period / 2;
    SetKeyAndBody(call, number);
    return call;
  }

 private:
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }

  [[nodiscard]] Duration TimeAt(double share) const {
    return std::chrono::duration_cast<Duration>(settings_.arrival_period *
                                                share);
  }

  Duration BurstTime() { return TimeAt(0.5 + kBurstLength * Draw()); }

  void SetKeyAndBody(PlannedCall& call, std::size_t number) {
    const std::string tag =
        std::to_string(settings_.seed) + "-" + std::to_string(number);
    call.key.account.value =
        "account-" + std::to_string(Between(0, settings_.accounts - 1));
    call.key.service.value = "match";
    call.deadline = settings_.deadline;
    call.key.idempotency_key = "call-" + tag;
    call.body = FormatTaskDirective(call.directive, tag);
  }

  MixSettings settings_;
  std::mt19937_64 random_;
};

}  // namespace

std::vector<PlannedCall> PlanMix(const MixSettings& settings) {
  MixGenerator generator(settings);
  std::vector<PlannedCall> calls;
  for (std::size_t i = 0; i < settings.calls; ++i) {
    const bool straggler = settings.straggler && i == 0;
    calls.push_back(straggler ? generator.MakeStraggler(i)
                              : generator.MakeCall(i));
  }
  std::stable_sort(calls.begin(), calls.end(),
                   [](const PlannedCall& a, const PlannedCall& b) {
                     return a.arrival < b.arrival;
                   });
  return calls;
}

}  // namespace jasminespar::standins
