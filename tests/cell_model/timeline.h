/// @file
/// Virtual time: events in order of their instant, and the one random source.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_TIMELINE_H_
#define JASMINESPAR_TESTS_CELL_MODEL_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "jasminespar/core/time.h"

namespace jasminespar::cell_model {

class Timeline {
 public:
  explicit Timeline(std::uint64_t seed) : random_(seed) {}

  void After(Duration delay, std::function<void()> event) {
    events_.push({now_ + delay, ++last_, std::move(event)});
  }

  /// Performs the next event.
  /// @return false when there is none.
  bool Step() {
    if (events_.empty()) return false;
    Event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.perform();
    return true;
  }

  [[nodiscard]] TimePoint now() const { return now_; }

  /// @return a number in [low, high].
  std::int64_t Uniform(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  Duration Between(Duration low, Duration high) {
    return Duration(Uniform(low.count(), high.count()));
  }
  /// @return true in `share` of 1000 cases.
  bool Chance(int share) { return Uniform(0, 999) < share; }

  /// Time that a message takes: short, and now and then very long.
  Duration Travel(bool faults) {
    if (faults && Chance(10)) return Between(10ms, 2s);
    return Between(100us, 4ms);
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> perform;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  TimePoint now_{1s};
  std::uint64_t last_ = 0;
  std::priority_queue<Event> events_;
  std::mt19937_64 random_;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_TIMELINE_H_
