// Guards against an owner that forgets what any owner before it can still do,
// and against two owners of one epoch: owners are cut off, killed, restarted
// and released in random orders, and their writes are carried out and confirmed
// late.
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "jasminespar/jobs/ownership.h"

namespace jasminespar::jobs {
namespace {

constexpr Duration kStep = 50ms;
constexpr int kStepsPerSequence = 600;
constexpr int kSequences = 3'000;
constexpr std::size_t kInstances = 4;
const OwnershipSettings kSettings;

/// A write of the owner row. Its process sends no other one before its answer.
struct OwnerWrite {
  OwnerRow row;
  bool claim = false;
  RowVersion expected;
  TimePoint sent_at;
  TimePoint carried_out_at;
  TimePoint answered_at;
  bool carried_out = false;
  RowVersion written;  ///< 0: its condition failed.
};

/// One instance: at most one process at a time, always of the same name.
struct Instance {
  InstanceId name;
  std::optional<Ownership> process;
  std::uint64_t process_number = 0;
  std::optional<OwnerWrite> write;
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
      CarryOutWrites();
      CheckEarlierOwners();
    }
  }

  int takeovers() const { return takeovers_; }
  int superseded() const { return superseded_; }

 private:
  bool Happens(int one_in) {
    return std::uniform_int_distribution<int>(1, one_in)(random_) == 1;
  }

  Duration DelayUpTo(int steps) {
    return kStep * std::uniform_int_distribution<int>(0, steps)(random_);
  }

  void Kill(Instance& instance) {
    // The table may still carry out its write.
    if (instance.write) orphans_.push_back(*instance.write);
    instance.write.reset();
    instance.process.reset();
    instance.starts_at = now_ + 2 * kStep + DelayUpTo(58);
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
    if (instance.write) return;
    const OwnerRow row = instance.process->ReleasedRow(now_);
    if (!instance.cut_off && instance.process->version() == version_) {
      WriteRow(row);
    }
    // The answer is lost as often as not; then the process goes on.
    if (Happens(2)) Kill(instance);
  }

  void Advance(std::size_t index) {
    Instance& instance = instances_[index];
    if (!instance.process) {
      if (now_ < instance.starts_at) return;
      ++instance.process_number;
      instance.process.emplace(kSettings, instance.name,
                               static_cast<std::uint32_t>(index), now_);
    }
    Ownership& process = *instance.process;
    if (!instance.cut_off) Read(instance);
    if (instance.write) {
      if (!instance.cut_off) HandleAnswer(instance);
      return;
    }
    const OwnershipAction action = process.Next(now_);
    if (instance.cut_off) return;
    if (const auto* claim = std::get_if<ClaimCell>(&action)) {
      Send(instance, claim->row, claim->expected, true);
    } else if (std::holds_alternative<SendHeartbeat>(action)) {
      Send(instance, process.RenewedRow(now_), process.version(), false);
    }
  }

  void Read(Instance& instance) {
    Ownership& process = *instance.process;
    if (version_.value == 0) {
      process.HandleMissingOwnerRow(now_);
      return;
    }
    const bool lost = process.HandleOwnerRow(row_, version_, now_);
    if (lost && instance.write) {
      orphans_.push_back(*instance.write);
      instance.write.reset();
    }
    for (const Instance& peer : instances_) {
      const bool heard = peer.process && !peer.cut_off;
      if (heard) process.HandlePeerHeartbeat(peer.name, now_);
    }
  }

  void Send(Instance& instance, OwnerRow row, RowVersion expected, bool claim) {
    row.write = ++last_write_;
    OwnerWrite write{row, claim, expected, now_, now_, now_, false, {}};
    // Most writes are prompt; the others are slow, or their first answers are
    // lost.
    if (Happens(4)) write.carried_out_at = now_ + DelayUpTo(20);
    write.answered_at = write.carried_out_at;
    if (Happens(4)) write.answered_at += DelayUpTo(60);
    writers_[row.write] = {instance.name, instance.process_number};
    instance.write = write;
  }

  void CarryOutWrites() {
    for (Instance& instance : instances_) {
      if (instance.write) CarryOut(*instance.write);
    }
    for (OwnerWrite& write : orphans_) CarryOut(write);
    std::erase_if(orphans_,
                  [](const OwnerWrite& write) { return write.carried_out; });
  }

  void CarryOut(OwnerWrite& write) {
    if (write.carried_out || now_ < write.carried_out_at) return;
    write.carried_out = true;
    if (write.expected != version_) return;
    WriteRow(write.row);
    write.written = version_;
    CheckWriter(write);
  }

  /// Checks that only the process that claimed an epoch writes in its name.
  void CheckWriter(const OwnerWrite& write) {
    const auto& writer = writers_.at(write.row.write);
    if (write.claim) {
      CHECK(claimants_.try_emplace(write.row.epoch, writer).second);
      ++takeovers_;
    } else {
      CHECK(claimants_.at(write.row.epoch) == writer);
    }
  }

  void HandleAnswer(Instance& instance) {
    const OwnerWrite write = *instance.write;
    if (!write.carried_out || now_ < write.answered_at) return;
    instance.write.reset();
    Ownership& process = *instance.process;
    if (!write.claim && write.written.value != 0) {
      process.WriteSucceeded(write.row, write.written, write.sent_at);
    } else if (!write.claim) {
      process.HandleOwnershipLost(now_);
    } else if (write.written.value == 0) {
      process.ClaimFailed(now_);
    } else if (process.ClaimSucceeded(write.row, write.written, write.sent_at,
                                      now_)) {
      instance.windows_from = write.sent_at;
      instance.windows = write.row.predecessors;
    } else {
      ++superseded_;
    }
  }

  void WriteRow(const OwnerRow& row) {
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
  std::vector<OwnerWrite> orphans_;  ///< Of processes that await no answer.
  std::map<std::uint64_t, std::pair<InstanceId, std::uint64_t>> writers_;
  std::map<Epoch, std::pair<InstanceId, std::uint64_t>> claimants_;
  int takeovers_ = 0;
  int superseded_ = 0;  ///< Claims that were confirmed after another one.
};

TEST_CASE("an owner reckons with every earlier owner that can still act") {
  int takeovers = 0;
  int superseded = 0;
  for (std::uint32_t seed = 0; seed < kSequences; ++seed) {
    INFO("seed " << seed);
    Succession succession(seed);
    succession.Run();
    takeovers += succession.takeovers();
    superseded += succession.superseded();
  }
  CHECK(superseded > 10);
  CHECK(takeovers > 5 * kSequences);
}

}  // namespace
}  // namespace jasminespar::jobs
