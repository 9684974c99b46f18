// Guards against an owner that forgets what any owner before it can still do:
// owners are cut off, killed, restarted and released in random orders.
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jasminespar/jobs/ownership.h"

namespace jasminespar::jobs {
namespace {

constexpr Duration kStep = 50ms;
constexpr int kStepsPerSequence = 600;
constexpr int kSequences = 3'000;
constexpr std::size_t kInstances = 4;
const OwnershipSettings kSettings;

/// One instance: at most one process at a time, always of the same name.
struct Instance {
  InstanceId name;
  std::optional<Ownership> process;
  bool cut_off = false;        ///< From the table and from the other instances.
  TimePoint starts_at;         ///< While there is no process.
  TimePoint windows_from;      ///< When its last claim was sent.
  PredecessorWindows windows;  ///< Of its last claim.
};

/// Instances over one owner row, in virtual time.
class Succession {
 public:
  explicit Succession(std::uint32_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      Instance instance;
      instance.name.value = "instance-" + std::to_string(i);
      instances_.push_back(std::move(instance));
    }
  }

  void Run() {
    for (int step = 0; step < kStepsPerSequence; ++step) {
      now_ += kStep;
      for (Instance& instance : instances_) Disturb(instance);
      for (std::size_t i = 0; i < kInstances; ++i) Advance(i);
      CheckEarlierOwners();
    }
  }

  int takeovers() const { return takeovers_; }

 private:
  bool Happens(int one_in) {
    return std::uniform_int_distribution<int>(1, one_in)(random_) == 1;
  }

  void Kill(Instance& instance) {
    instance.process.reset();
    instance.starts_at =
        now_ + kStep * std::uniform_int_distribution<int>(2, 60)(random_);
  }

  void Disturb(Instance& instance) {
    const bool owner = instance.process && instance.process->owned();
    if (Happens(instance.cut_off ? 80 : 150)) {
      instance.cut_off = !instance.cut_off;
    }
    if (instance.process && Happens(owner ? 40 : 300)) Kill(instance);
    if (owner && instance.process && Happens(100)) Release(instance);
  }

  void Release(Instance& instance) {
    const OwnerRow row = instance.process->ReleasedRow(now_);
    if (!instance.cut_off && instance.process->version() == version_) {
      Write(row);
    }
    // The answer is lost as often as not; then the process goes on.
    if (Happens(2)) Kill(instance);
  }

  void Advance(std::size_t index) {
    Instance& instance = instances_[index];
    if (!instance.process) {
      if (now_ < instance.starts_at) return;
      instance.process.emplace(kSettings, instance.name,
                               static_cast<std::uint32_t>(index), now_);
    }
    Ownership& process = *instance.process;
    if (!instance.cut_off) Read(process);
    const OwnershipAction action = process.Next(now_);
    if (instance.cut_off) return;
    if (const auto* claim = std::get_if<ClaimCell>(&action)) {
      Claim(instance, *claim);
    } else if (std::holds_alternative<SendHeartbeat>(action)) {
      Renew(process);
    }
  }

  void Read(Ownership& process) {
    if (version_.value == 0) {
      process.HandleMissingOwnerRow(now_);
      return;
    }
    process.HandleOwnerRow(row_, version_, now_);
    for (const Instance& peer : instances_) {
      const bool heard = peer.process && !peer.cut_off;
      if (heard) process.HandlePeerHeartbeat(peer.name, now_);
    }
  }

  void Claim(Instance& instance, const ClaimCell& claim) {
    if (claim.expected != version_) {
      instance.process->ClaimFailed(now_);
      return;
    }
    Write(claim.row);
    ++takeovers_;
    instance.windows_from = now_;
    instance.windows = claim.row.predecessors;
    instance.process->ClaimSucceeded(row_, version_, now_, now_);
  }

  void Renew(Ownership& process) {
    const OwnerRow row = process.RenewedRow(now_);
    if (process.version() != version_) {
      process.HandleOwnershipLost(now_);
      return;
    }
    Write(row);
    process.WriteSucceeded(row_, version_, now_);
  }

  void Write(OwnerRow row) {
    row.write = ++last_write_;
    row_ = row;
    ++version_.value;
  }

  /// Checks that the owner reckons with each earlier one that can still act.
  void CheckEarlierOwners() {
    for (const Instance& owner : instances_) {
      if (!owner.process || !owner.process->owned()) continue;
      if (owner.process->epoch() != row_.epoch) continue;
      const PredecessorWindows left =
          WindowsAfter(owner.windows, now_ - owner.windows_from);
      for (const Instance& earlier : instances_) {
        if (!earlier.process || earlier.name == owner.name) continue;
        const Authority authority = earlier.process->AuthorityAt(now_);
        if (authority != Authority::kNone) CHECK(left.renew > Duration{});
        if (authority == Authority::kFull) CHECK(left.start > Duration{});
      }
    }
  }

  std::mt19937 random_;
  std::vector<Instance> instances_;
  OwnerRow row_;
  RowVersion version_;
  std::uint64_t last_write_ = 0;
  TimePoint now_{1h};
  int takeovers_ = 0;
};

TEST_CASE("an owner reckons with every earlier owner that can still act") {
  int takeovers = 0;
  for (std::uint32_t seed = 0; seed < kSequences; ++seed) {
    INFO("seed " << seed);
    Succession succession(seed);
    succession.Run();
    takeovers += succession.takeovers();
  }
  CHECK(takeovers > 5 * kSequences);
}

}  // namespace
}  // namespace jasminespar::jobs
