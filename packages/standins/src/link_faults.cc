#include "jasminespar/standins/link_faults.h"

namespace jasminespar::standins {

namespace {

constexpr std::int64_t kMaxReorderMs = 50;

bool Chance(double probability, std::mt19937_64& random) {
  return std::bernoulli_distribution(probability)(random);
}

}  // namespace

LinkFaults ParseLinkFaults(const nlohmann::json& body) {
  LinkFaults faults;
  faults.cut_to_target = body.value("cut_to_target", false);
  faults.cut_to_source = body.value("cut_to_source", false);
  faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
  faults.close_probability = body.value("close_probability", 0.0);
  faults.bytes_per_second = body.value("bytes_per_second", std::uint64_t{0});
  faults.drop_probability = body.value("drop_probability", 0.0);
  faults.reorder_probability = body.value("reorder_probability", 0.0);
  faults.duplicate_probability = body.value("duplicate_probability", 0.0);
  return faults;
}

std::vector<Duration> ChooseDatagramDelays(const LinkFaults& faults,
                                           std::mt19937_64& random) {
  if (faults.cut_to_target || Chance(faults.drop_probability, random)) {
    return {};
  }
  std::vector<Duration> delays(
      Chance(faults.duplicate_probability, random) ? 2 : 1, faults.delay);
  for (Duration& delay : delays) {
    if (!Chance(faults.reorder_probability, random)) continue;
    delay += std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(1, kMaxReorderMs)(random));
  }
  return delays;
}

Duration ChunkDelay(const LinkFaults& faults, std::size_t bytes) {
  Duration delay = faults.delay;
  if (faults.bytes_per_second > 0) {
    delay +=
        Duration(bytes * std::uint64_t{1'000'000} / faults.bytes_per_second);
  }
  return delay;
}

}  // namespace jasminespar::standins
