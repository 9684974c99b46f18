/// @file
/// Virtual time: an event queue ordered by time, and the simulation's only
/// source of random numbers.

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

  /// Events at the same time run in the order in which they were added.
  void RunAfter(Duration delay, std::function<void()> event) {
    events_.push({now_ + delay, ++last_sequence_, std::move(event)});
  }

  /// Advances the time to the next event and runs it.
  /// @return false if there is none.
  bool RunNext() {
    if (events_.empty()) return false;
    Event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
    return true;
  }

  [[nodiscard]] TimePoint now() const { return now_; }

  /// @return a number in [low, high].
  std::int64_t RandomInt(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  Duration RandomDuration(Duration low, Duration high) {
    return Duration(RandomInt(low.count(), high.count()));
  }
  /// @return true with a probability of `per_mille` / 1000.
  bool Chance(int per_mille) { return RandomInt(0, 999) < per_mille; }

  /// @param faults whether one message in a hundred is much slower.
  /// @return the time that a message is in transit.
  Duration MessageDelay(bool faults) {
    if (faults && Chance(10)) return RandomDuration(10ms, 2s);
    return RandomDuration(100us, 4ms);
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.sequence) < std::pair(at, sequence);
    }
  };

  TimePoint now_{1s};
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<Event> events_;
  std::mt19937_64 random_;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_TIMELINE_H_
