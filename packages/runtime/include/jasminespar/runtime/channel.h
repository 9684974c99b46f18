/// @file
/// Bounded ring that joins one producing duty with one consuming duty.

#ifndef JASMINESPAR_RUNTIME_CHANNEL_H_
#define JASMINESPAR_RUNTIME_CHANNEL_H_

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace jasminespar::runtime {

/// Single-producer single-consumer ring with two wake-ups: the consumer is
/// woken when messages wait, the producer when space came back. Neither side
/// ever blocks or spins.
///
/// When the ring is full, messages wait in the producer's own backlog. The
/// producer bounds that backlog: it looks at `congested()` before it takes
/// work from outside, and either refuses it or stops reading.
template <typename Message>
class Channel {
 public:
  using Wake = std::function<void()>;

  /// @param capacity messages in the ring.
  explicit Channel(std::size_t capacity) : ring_(capacity) {}

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  ~Channel() {
    Message* message = nullptr;
    while (ring_.pop(message)) delete message;
  }

  /// Called once before either duty runs. Both must be callable from the
  /// other side's thread.
  void Connect(Wake wake_consumer, Wake wake_producer) {
    wake_consumer_ = std::move(wake_consumer);
    wake_producer_ = std::move(wake_producer);
  }

  /// Producer: sends in order; never fails and never waits.
  void Send(Message message) {
    backlog_.push_back(std::make_unique<Message>(std::move(message)));
    Flush();
  }

  /// Producer: moves the backlog into the ring; called on its wake-up.
  void Flush() {
    bool moved = false;
    while (!backlog_.empty() && ring_.push(backlog_.front().get())) {
      static_cast<void>(backlog_.front().release());
      backlog_.pop_front();
      moved = true;
    }
    if (!backlog_.empty()) {
      starved_.store(true);
      // The consumer may have drained everything before it could see the flag.
      if (ring_.write_available() > 0 && starved_.exchange(false)) {
        wake_producer_();
      }
    }
    if (moved && !scheduled_.exchange(true)) wake_consumer_();
  }

  /// Producer: whether messages wait outside the ring.
  [[nodiscard]] bool congested() const noexcept { return !backlog_.empty(); }
  [[nodiscard]] std::size_t backlog() const noexcept { return backlog_.size(); }

  /// Consumer: takes up to `limit` messages; called on its wake-up.
  /// @param handler callable with `Message&&`.
  template <typename Handler>
  void Drain(std::size_t limit, Handler&& handler) {
    scheduled_.store(false);
    Message* raw = nullptr;
    std::size_t taken = 0;
    while (taken < limit && ring_.pop(raw)) {
      std::unique_ptr<Message> message(raw);
      ++taken;
      handler(std::move(*message));
    }
    if (ring_.read_available() > 0 && !scheduled_.exchange(true)) {
      wake_consumer_();
    }
    if (taken > 0 && starved_.exchange(false)) wake_producer_();
  }

 private:
  boost::lockfree::spsc_queue<Message*> ring_;
  std::deque<std::unique_ptr<Message>> backlog_;  // Producer's thread only.
  std::atomic<bool> scheduled_{false};            // Consumer wake-up pending.
  std::atomic<bool> starved_{false};              // Producer waits for space.
  Wake wake_consumer_ = [] {};
  Wake wake_producer_ = [] {};
};

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_CHANNEL_H_
