// Tests what becomes of an instance, a process of its own with little memory in
// its settings, when a small crowd of clients keeps to no limit. Each case ends
// by itself. Checked is only what does not depend on the machine's speed.
#include <array>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "hostile_clients/crowd.h"
#include "hostile_clients/served_process.h"
#include "jasminespar/fleet/fleet_codec.h"

namespace jasminespar::hostile_clients {
namespace {

// The crowd and the bounds. They were fixed on the code before any limit.
constexpr std::size_t kMemoryMib = 64;
constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kCrowd = 24;
constexpr std::size_t kBytesOfEach = 8U << 20;
constexpr std::size_t kIdleCrowd = 300;
constexpr std::size_t kMaxDescriptors = 200;

/// For the instance to take what is still in the kernel's queues.
constexpr std::chrono::seconds kSettle{1};

const std::string kHead =
    "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\n"
    "Host: jobs.test\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string SizedHead(std::size_t bytes) {
  return kHead + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

void CheckHeld(ServedProcess& served) {
  CHECK(served.lives());
  CHECK(served.PeakMemoryKib() < kMemoryMib << 10U);
  CHECK(served.OpenDescriptors() < kMaxDescriptors);
  CHECK(served.AnswersOrdinaryRequest());
  CHECK(served.lives());
  CHECK(served.PeakMemoryKib() < kMemoryMib << 10U);
}

/// Floods a port and checks the instance while the crowd's connections are
/// still open.
void CheckFlood(std::uint16_t Ports::*port, const Flood& flood) {
  ServedProcess served(kMemoryMib, kMaxConnections);
  REQUIRE(served.AnswersOrdinaryRequest());
  Crowd crowd(served.ports().*port, kCrowd);
  crowd.Send(flood);
  std::this_thread::sleep_for(kSettle);
  CheckHeld(served);
}

TEST_CASE("trailers without end behind a chunked body") {
  const auto port =
      GENERATE(&Ports::callers, &Ports::readiness, &Ports::metrics);
  CheckFlood(port,
             {kChunked + "1\r\nx\r\n0\r\n", "Name: value\r\n", kBytesOfEach});
}

TEST_CASE("one trailer without end") {
  CheckFlood(&Ports::callers,
             {kChunked + "1\r\nx\r\n0\r\nName: ", "value", kBytesOfEach});
}

TEST_CASE("a chunk extension without end") {
  CheckFlood(&Ports::callers, {kChunked + "1;name=", "value", kBytesOfEach});
}

TEST_CASE("an extension behind each chunk of a body without end") {
  const std::string extension(1000, 'e');
  CheckFlood(&Ports::callers,
             {kChunked, "1;" + extension + "\r\nx\r\n", kBytesOfEach});
}

TEST_CASE("header fields without end") {
  CheckFlood(&Ports::callers, {kHead, "a:\r\n", kBytesOfEach});
}

TEST_CASE("bodies that are announced and never end") {
  const auto port =
      GENERATE(&Ports::callers, &Ports::readiness, &Ports::metrics);
  CheckFlood(
      port, {SizedHead(kBytesOfEach), "0123456789abcdef", kBytesOfEach - 1000});
}

TEST_CASE("chunked bodies that never end") {
  CheckFlood(&Ports::callers,
             {kChunked, "400\r\n" + std::string(1024, 'x') + "\r\n",
              kBytesOfEach - 1000});
}

TEST_CASE("bodies of many levels") {
  const std::string body(250'000, '[');
  const std::string request = SizedHead(body.size()) + body;
  CheckFlood(&Ports::callers, {"", request, 16 * request.size()});
}

TEST_CASE("bodies of many empty objects") {
  std::string body = "{\"steps\":[{}";
  while (body.size() < 250'000) body += ",{}";
  const std::string request = SizedHead(body.size()) + body;
  CheckFlood(&Ports::callers, {"", request, 16 * request.size()});
}

TEST_CASE("requests one behind the other, and no answer is taken") {
  CheckFlood(&Ports::metrics,
             {"", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", kBytesOfEach});
}

TEST_CASE("frames to the peers' port that are announced and never come") {
  std::string length(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(length.data()),
                               32U << 20);
  CheckFlood(&Ports::peers, {length, "", 4});
}

TEST_CASE("frames to the peers' port that never end") {
  std::string length(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(length.data()),
                               32U << 20);
  CheckFlood(&Ports::peers, {length, "0123456789abcdef", kBytesOfEach});
}

TEST_CASE("connections that send nothing") {
  ServedProcess served(kMemoryMib, kMaxConnections);
  REQUIRE(served.AnswersOrdinaryRequest());
  const auto port = GENERATE(&Ports::callers, &Ports::readiness,
                             &Ports::metrics, &Ports::peers);
  const Crowd crowd(served.ports().*port, kIdleCrowd);
  std::this_thread::sleep_for(kSettle);
  CheckHeld(served);
  if (port == &Ports::readiness) {
    CHECK(served.Ask(served.ports().readiness, "GET",
                     std::string(fleet::MakeFleetCodec().caller.readiness_path),
                     "") == 200);
  }
  if (port == &Ports::metrics) {
    CHECK(served.Ask(served.ports().metrics, "GET", "/metrics", "") == 200);
  }
}

}  // namespace
}  // namespace jasminespar::hostile_clients
