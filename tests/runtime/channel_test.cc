#include "jasminespar/runtime/channel.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <future>

#include "jasminespar/runtime/duty.h"

namespace jasminespar::runtime {
namespace {

TEST_CASE("messages beyond the capacity wait in the backlog, in order") {
  Channel<int> channel(2);
  int producer_wakes = 0;
  channel.Connect([] {}, [&] { ++producer_wakes; });
  for (int i = 0; i < 5; ++i) channel.Send(i);
  CHECK(channel.congested());
  CHECK(channel.backlog() == 3);
  std::vector<int> received;
  while (received.size() < 5) {
    channel.Drain(10, [&](int&& value) { received.push_back(value); });
    channel.Flush();
  }
  CHECK(received == std::vector<int>{0, 1, 2, 3, 4});
  CHECK(producer_wakes > 0);
}

TEST_CASE("two duties pass a million messages in order through a small ring") {
  constexpr std::uint64_t kCount = 1'000'000;
  Duty producer("producer");
  Duty consumer("consumer");
  Channel<std::uint64_t> channel(16);
  std::uint64_t expected = 0;
  bool in_order = true;
  std::promise<void> done;
  ConnectDuties(channel, producer, consumer, [&](std::uint64_t&& value) {
    in_order = in_order && value == expected;
    if (++expected == kCount) done.set_value();
  });
  boost::asio::post(producer.context(), [&] {
    for (std::uint64_t i = 0; i < kCount; ++i) channel.Send(i);
  });
  consumer.Start();
  producer.Start();
  done.get_future().wait();
  producer.Stop();
  consumer.Stop();
  CHECK(in_order);
  CHECK(expected == kCount);
}

}  // namespace
}  // namespace jasminespar::runtime
