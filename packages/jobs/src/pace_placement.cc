#include "pace_placement.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>
#include <string>

namespace jasminespar::jobs {

namespace {

/// Workers whose paces differ by less than this factor count as alike.
constexpr double kAlikeFactor = 1.15;

/// Single tasks are placed by pace where a worker takes this many times as long
/// as a usual one.
constexpr double kClearlySlow = 1.35;

/// Work away from its rack, or a gang on several, takes this many times as
/// long.
constexpr double kRemoteSlowdown = 3.0;

/// Share of the candidate workers that a faster place for a gang of small tasks
/// leaves empty, for tasks that need a whole worker.
constexpr double kEmptyShare = 0.12;

/// Levels of pace that are tried for one gang.
constexpr std::size_t kMaxLevels = 3;

using Workers = std::vector<WorkerState*>;

double SlowestOf(const Workers& workers) {
  double slowest = 0;
  for (const WorkerState* worker : workers) {
    slowest = std::max(slowest, worker->slowness);
  }
  return slowest;
}

bool IsRemote(const Workers& workers, const StepSpec& spec) {
  const std::string& home = spec.preferred_rack.empty()
                                ? workers.front()->entry.rack
                                : spec.preferred_rack;
  if (spec.preferred_rack.empty() && !spec.prefers_one_rack) return false;
  return std::any_of(
      workers.begin(), workers.end(),
      [&](const WorkerState* worker) { return worker->entry.rack != home; });
}

/// @return the gang's expected run time, in those of a usual worker.
double TimeOn(const Workers& workers, const StepSpec& spec) {
  return SlowestOf(workers) * (IsRemote(workers, spec) ? kRemoteSlowdown : 1.0);
}

/// @param workers those of one gang; equal ones follow each other.
std::ptrdiff_t CountOpened(const Workers& workers) {
  std::ptrdiff_t opened = 0;
  const WorkerState* last = nullptr;
  for (const WorkerState* worker : workers) {
    if (worker != last && worker->placed_runs.empty()) ++opened;
    last = worker;
  }
  return opened;
}

/// @return empty workers that may be opened beyond what the room requires.
std::ptrdiff_t SpareEmpty(const std::vector<Candidate>& candidates) {
  const auto empty = std::count_if(
      candidates.begin(), candidates.end(), [](const Candidate& candidate) {
        return candidate.worker->placed_runs.empty();
      });
  const auto kept = static_cast<std::ptrdiff_t>(
      kEmptyShare * static_cast<double>(candidates.size()));
  return std::max<std::ptrdiff_t>(0, empty - kept);
}

/// Where a gang could be placed, and what that takes.
class GangPlaces {
 public:
  GangPlaces(const std::vector<Candidate>& candidates,
             const PlacementRequest& request)
      : candidates_(candidates),
        request_(request),
        usual_(PlaceGang(candidates, request)) {
    if (usual_.empty()) return;
    usual_time_ = TimeOn(usual_, *request.spec);
    opened_ = CountOpened(usual_);
    spare_ = SpareEmpty(candidates);
  }

  [[nodiscard]] const Workers& usual() const noexcept { return usual_; }

  /// @return the slownesses from which on workers count as slower, fastest
  ///     first; only such as promise an earlier end than the usual place.
  [[nodiscard]] std::vector<double> Levels() const {
    std::vector<double> levels;
    double above = 0;
    while (levels.size() < kMaxLevels) {
      double next = std::numeric_limits<double>::max();
      for (const Candidate& candidate : candidates_) {
        const double slowness = candidate.worker->slowness;
        if (slowness > above) next = std::min(next, slowness);
      }
      above = next * kAlikeFactor;
      if (above * kAlikeFactor > usual_time_) break;
      levels.push_back(above);
    }
    return levels;
  }

  /// @return a place on workers with a slowness in the range that ends in at
  ///     most `longest` and opens at most that many empty workers; empty if
  ///     there is none.
  [[nodiscard]] Workers Within(double from, double to, double longest,
                               std::ptrdiff_t opened) const {
    std::vector<Candidate> chosen;
    std::copy_if(candidates_.begin(), candidates_.end(),
                 std::back_inserter(chosen), [&](const Candidate& candidate) {
                   const double slowness = candidate.worker->slowness;
                   return slowness >= from && slowness <= to;
                 });
    if (!HasRoom(chosen)) return {};
    Workers workers = PlaceGang(chosen, request_);
    if (workers.empty()) return {};
    const double time = TimeOn(workers, *request_.spec);
    if (time > longest || CountOpened(workers) > opened) return {};
    return workers;
  }

  [[nodiscard]] double usual_time() const noexcept { return usual_time_; }

  /// @return empty workers that the usual place opens.
  [[nodiscard]] std::ptrdiff_t opened() const noexcept { return opened_; }

  /// @return empty workers that may be opened for an earlier end.
  [[nodiscard]] std::ptrdiff_t most_opened() const noexcept {
    return opened_ + spare_;
  }

 private:
  [[nodiscard]] bool HasRoom(const std::vector<Candidate>& chosen) const {
    const Resources need = NeedOf(*request_.spec);
    std::uint32_t fitting = 0;
    for (const Candidate& candidate : chosen) {
      fitting += CountFitting(need, candidate.room,
                              std::min(candidate.limit, request_.tasks));
      if (fitting >= request_.tasks) return true;
    }
    return false;
  }

  const std::vector<Candidate>& candidates_;
  const PlacementRequest& request_;
  Workers usual_;
  double usual_time_ = 0;
  std::ptrdiff_t opened_ = 0;
  std::ptrdiff_t spare_ = 0;  ///< Empty workers that no other task may need.
};

}  // namespace

std::vector<WorkerState*> PlaceGangByPace(
    const std::vector<Candidate>& candidates, const PlacementRequest& request) {
  const GangPlaces places(candidates, request);
  if (places.usual().empty()) return {};
  const double time = places.usual_time();
  for (const double level : places.Levels()) {
    Workers faster =
        places.Within(0, level, time / kAlikeFactor, places.most_opened());
    if (!faster.empty()) return faster;
  }
  Workers alike = places.Within(SlowestOf(places.usual()) / kAlikeFactor,
                                std::numeric_limits<double>::max(),
                                time * kAlikeFactor, places.opened());
  return alike.empty() ? places.usual() : alike;
}

int PaceRank(const WorkerState& worker, PaceOrder order) {
  if (order == PaceOrder::kNone) return 0;
  const bool slow = worker.slowness > kClearlySlow;
  return slow == (order == PaceOrder::kSlowFirst) ? 0 : 1;
}

void PutSlowFirst(std::vector<Candidate>& candidates) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return PaceRank(*a.worker, PaceOrder::kSlowFirst) <
                            PaceRank(*b.worker, PaceOrder::kSlowFirst);
                   });
}

}  // namespace jasminespar::jobs
