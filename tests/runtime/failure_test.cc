// Exceptions that escape the handlers of a duty.
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "jasminespar/runtime/duty.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/runtime/spawn.h"

namespace jasminespar::runtime {
namespace {

TEST_CASE("a message whose handler throws does not end the process") {
  std::vector<std::string> failures;
  Duty producer("producer");
  Duty consumer("consumer",
                [&](const std::string& duty, const std::string& error) {
                  failures.push_back(duty + ": " + error);
                });
  Channel<int> channel(16);
  int sum = 0;
  std::promise<void> done;
  ConnectDuties(channel, producer, consumer, [&](int&& value) {
    if (value == 2) throw std::runtime_error("odd message");
    sum += value;
    if (value == 3) done.set_value();
  });
  boost::asio::post(producer.context(), [&] {
    for (int i = 1; i <= 3; ++i) channel.Send(i);
  });
  consumer.Start();
  producer.Start();
  done.get_future().wait();
  producer.Stop();
  consumer.Stop();
  CHECK(sum == 4);
  CHECK(failures == std::vector<std::string>{"consumer: odd message"});
}

TEST_CASE("a persistent coroutine runs again after an exception") {
  int failures = 0;
  Duty duty("duty",
            [&](const std::string&, const std::string&) { ++failures; });
  int starts = 0;
  std::promise<void> done;
  const auto run = [&]() -> boost::asio::awaitable<void> {
    ++starts;
    co_await Sleep(duty.context(), 1ms);
    if (starts < 3) throw std::runtime_error("unexpected");
    done.set_value();
  };
  SpawnPersistent(duty.context(), run);
  duty.Start();
  done.get_future().wait();
  duty.Stop();
  CHECK(starts == 3);
  CHECK(failures == 2);
}

}  // namespace
}  // namespace jasminespar::runtime
