// Instances of the model: their ownership and decisions.
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "model.h"

namespace jasminespar::jobs {
namespace {

constexpr Duration kTickInterval = 100ms;

}  // namespace

void Model::Tick(Instance& instance) {
  Later(instance, kTickInterval, [this, &instance] { Tick(instance); });
  if (Happens(0.3)) ReadOwnerRow(instance);
  AdvanceOwnership(instance);
  if (instance.dispatcher == nullptr) return;
  if (instance.loaded &&
      Happens(now_ < instance.reads_slow_until ? 0.1 : 0.6)) {
    ReadJobs(instance);
    ReadWorkers(instance);
  }
  if (instance.dispatcher == nullptr) return;
  const Now now = TimeOf(instance);
  Perform(instance, instance.dispatcher->Decide(
                        instance.ownership->AuthorityAt(now.steady), now));
}

void Model::AdvanceOwnership(Instance& instance) {
  if (instance.in_flight) return;
  Ownership& ownership = *instance.ownership;
  const TimePoint now = SteadyOf(instance);
  OwnerWrite write;
  if (instance.leaving && ownership.owned()) {
    write.kind = OwnerWrite::Kind::kRelease;
    write.row = ownership.ReleasedRow(now);
    Send(instance, std::move(write));
    return;
  }
  const OwnershipAction action = ownership.Next(now);
  if (const auto* claim = std::get_if<ClaimCell>(&action)) {
    write.kind = OwnerWrite::Kind::kClaim;
    write.row = claim->row;
    Send(instance, std::move(write));
  } else if (std::holds_alternative<SendHeartbeat>(action)) {
    write.row = ownership.RenewedRow(now);
    Send(instance, std::move(write));
  }
}

void Model::BeginEpoch(Instance& instance, const OwnerRow& row) {
  ++result_.takeovers;
  Trace(settings_.traced,
        instance.name.value + " begins epoch " +
            std::to_string(row.epoch.durable) + ", others renew for " +
            std::to_string(ToMilliseconds(row.predecessors.renew)) +
            ", start for " +
            std::to_string(ToMilliseconds(row.predecessors.start)) + " ms");
  if (successors_to_kill_ > 0) {
    --successors_to_kill_;
    Later(instance, Between(0ms, 500ms),
          [this, &instance] { Kill(instance, Between(100ms, 1s)); });
  }
  instance.epoch = row.epoch;
  instance.loaded = false;
  instance.pending.reset();
  instance.list_read.clear();
  instance.dispatcher = std::make_unique<Dispatcher>(
      DispatcherSettings{}, row.epoch, row.predecessors);
  Feed(instance, ConfigurationChanged{configuration_});
  Later(instance, Between(1ms, now_ < slow_until_ ? 1500ms : 100ms),
        [this, &instance, epoch = row.epoch] { Load(instance, epoch); });
}

void Model::StepDown(Instance& instance) {
  if (instance.dispatcher == nullptr) return;
  instance.dispatcher.reset();
  instance.pending.reset();
  instance.in_flight.reset();
}

void Model::Feed(Instance& instance, DispatcherInput input) {
  if (instance.dispatcher == nullptr) return;
  Perform(instance,
          instance.dispatcher->Handle(std::move(input), TimeOf(instance)));
}

void Model::Perform(Instance& instance, std::vector<DispatcherEffect> effects) {
  for (DispatcherEffect& effect : effects) {
    if (instance.dispatcher == nullptr) return;
    std::visit(
        Overloaded{
            [&](const SendOrder& order) { SendToWorker(instance, order); },
            [&](Commit& commit) {
              instance.pending = std::move(commit);
              SendNextCommit(instance);
            },
            [&](const Decision& decision) {
              TraceDecision(instance, decision);
            },
            [&](const RunConcluded& concluded) {
              CheckConclusion(instance, concluded);
            },
            [&](const RunContradicted& contradicted) {
              Violate(NameOf(contradicted.task) + " run " +
                      std::to_string(contradicted.run.value) + " on " +
                      contradicted.worker.value + ": " +
                      std::string(
                          RowOf(kContradictionNames, contradicted.kind).name));
            },
            [&](const StageFailed& failed) {
              Violate("a stage failed: " + failed.fault);
            },
            [&](const ResignOwnership&) {
              instance.ownership->HandleOwnershipLost(SteadyOf(instance));
              StepDown(instance);
            },
        },
        effect);
  }
}

}  // namespace jasminespar::jobs
