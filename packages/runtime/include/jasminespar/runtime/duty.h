/// @file
/// A duty: a named thread that runs one Asio io_context and shares no state
/// with other duties. Duties communicate only through channels.

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

/// Messages handled from one ring before the duty runs other handlers.
inline constexpr std::size_t kDrainBatch = 64;

/// Runs an io_context on its own thread; sleeps in the kernel when idle.
class Duty {
 public:
  /// Called on the duty's thread for an exception that escaped a handler.
  /// @param error text of the exception.
  using FailureHandler =
      std::function<void(const std::string& duty, const std::string& error)>;

  /// @param name thread name in the process list; at most 15 characters.
  explicit Duty(std::string name, FailureHandler on_failure = PrintFailure);
  ~Duty();

  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  /// Starts the thread. An exception that escapes a handler is passed to the
  /// failure handler and ends that handler only: one message must not end the
  /// process.
  void Start();

  /// Stops the event loop and joins the thread.
  void Stop();

  [[nodiscard]] boost::asio::io_context& context() noexcept { return context_; }

  /// Prints the failure to standard error.
  static void PrintFailure(const std::string& duty, const std::string& error);

 private:
  void Run();

  std::string name_;
  FailureHandler on_failure_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::thread thread_;
};

/// Connects two duties by a channel. Must be called before either starts.
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

/// Connects two duties by a channel whose messages are passed to
/// `consumer.Handle` on the consumer's thread.
template <typename Message, typename Consumer>
void ConnectConsumer(Channel<Message>& channel, Duty& producer,
                     Duty& consumer_duty, Consumer& consumer) {
  ConnectDuties(
      channel, producer, consumer_duty,
      [&consumer](Message&& message) { consumer.Handle(std::move(message)); });
}

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_DUTY_H_
