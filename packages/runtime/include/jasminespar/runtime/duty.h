/// @file
/// A duty: one named thread that runs one Asio io_context and owns its state
/// alone. Duties talk only through channels.

#ifndef JASMINESPAR_RUNTIME_DUTY_H_
#define JASMINESPAR_RUNTIME_DUTY_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <string>
#include <thread>

#include "jasminespar/runtime/channel.h"

namespace jasminespar::runtime {

/// Messages taken from one ring before the duty looks at other work.
inline constexpr std::size_t kDrainBatch = 64;

/// Runs an io_context on its own thread; sleeps in the kernel when idle.
class Duty {
 public:
  /// @param name shown in the process list; at most 15 characters.
  explicit Duty(std::string name);
  ~Duty();

  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  /// Starts the thread. An exception that leaves a handler ends the process
  /// after it was logged: a half-dead instance is worse than a replaced one.
  void Start();

  /// Asks the loop to stop and joins the thread.
  void Stop();

  [[nodiscard]] boost::asio::io_context& context() noexcept { return context_; }

 private:
  std::string name_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

/// Joins two duties by a channel. Must be called before either starts.
/// @param handler runs on the consumer's thread for each message.
template <typename Message, typename Handler>
void ConnectDuties(Channel<Message>& channel, Duty& producer, Duty& consumer,
                   Handler handler) {
  channel.Connect(
      [&channel, &consumer, handler] {
        boost::asio::post(consumer.context(), [&channel, handler] {
          channel.Drain(kDrainBatch, handler);
        });
      },
      [&channel, &producer] {
        boost::asio::post(producer.context(), [&channel] { channel.Flush(); });
      });
}

/// Joins two duties by a channel whose messages the consumer's `Handle` takes.
template <typename Message, typename Consumer>
void ConnectConsumer(Channel<Message>& channel, Duty& producer,
                     Duty& consumer_duty, Consumer& consumer) {
  ConnectDuties(
      channel, producer, consumer_duty,
      [&consumer](Message&& message) { consumer.Handle(std::move(message)); });
}

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_DUTY_H_
