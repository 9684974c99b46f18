/// @file
/// Bounded queue from one producer duty to one consumer duty.

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

/// Single-producer single-consumer ring. The consumer is woken when messages
/// are available, the producer when a full ring has space again. Neither side
/// blocks or spins.
///
/// When the ring is full, messages are kept in the producer's backlog. The
/// producer must bound the backlog: it checks `congested()` before it accepts
/// work from outside, and either refuses that work or stops reading.
template <typename Message>
class Channel {
 public:
  using Wake = std::function<void()>;

  /// @param capacity of the ring; messages.
  explicit Channel(std::size_t capacity) : ring_(capacity) {}

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  ~Channel() {
    Message* message = nullptr;
    while (ring_.pop(message)) delete message;
  }

  /// Must be called once, before either duty runs. Both functions must be
  /// callable from the other side's thread.
  void Connect(Wake wake_consumer, Wake wake_producer) {
    wake_consumer_ = std::move(wake_consumer);
    wake_producer_ = std::move(wake_producer);
  }

  /// Producer: enqueues a message; keeps the order, never fails, never waits.
  void Send(Message message) {
    backlog_.push_back(std::make_unique<Message>(std::move(message)));
    Flush();
  }

  /// Producer: moves messages from the backlog to the ring. Called by `Send`
  /// and when the producer is woken.
  void Flush() {
    bool moved = false;
    while (!backlog_.empty() && ring_.push(backlog_.front().get())) {
      static_cast<void>(backlog_.front().release());
      backlog_.pop_front();
      moved = true;
    }
    if (!backlog_.empty()) {
      producer_waiting_.store(true);
      // The consumer may have drained the ring before the flag was set; it
      // would then not wake the producer.
      if (ring_.write_available() > 0 && producer_waiting_.exchange(false)) {
        wake_producer_();
      }
    }
    if (moved && !consumer_wake_pending_.exchange(true)) wake_consumer_();
  }

  /// Producer: whether the backlog holds messages.
  [[nodiscard]] bool congested() const noexcept { return !backlog_.empty(); }
  /// Producer: number of messages in the backlog.
  [[nodiscard]] std::size_t backlog() const noexcept { return backlog_.size(); }

  /// Consumer: handles up to `limit` messages. Called when the consumer is
  /// woken; schedules another wake-up when messages are left, also when the
  /// handler throws.
  /// @param handler callable with `Message&&`.
  template <typename Handler>
  void Drain(std::size_t limit, Handler&& handler) {
    consumer_wake_pending_.store(false);
    const DrainEnd end(*this);
    Message* raw = nullptr;
    for (std::size_t handled = 0; handled < limit && ring_.pop(raw);
         ++handled) {
      std::unique_ptr<Message> message(raw);
      handler(std::move(*message));
    }
  }

 private:
  /// Wakes both sides when a Drain ends.
  class DrainEnd {
   public:
    explicit DrainEnd(Channel& channel) : channel_(channel) {}
    ~DrainEnd() {
      const bool more = channel_.ring_.read_available() > 0;
      if (more && !channel_.consumer_wake_pending_.exchange(true)) {
        channel_.wake_consumer_();
      }
      if (channel_.producer_waiting_.exchange(false)) channel_.wake_producer_();
    }
    DrainEnd(const DrainEnd&) = delete;
    DrainEnd& operator=(const DrainEnd&) = delete;

   private:
    Channel& channel_;
  };

  boost::lockfree::spsc_queue<Message*> ring_;
  std::deque<std::unique_ptr<Message>> backlog_;  // Used by the producer only.
  std::atomic<bool> consumer_wake_pending_{false};
  std::atomic<bool> producer_waiting_{false};  // For space in the ring.
  Wake wake_consumer_ = [] {};
  Wake wake_producer_ = [] {};
};

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_CHANNEL_H_
