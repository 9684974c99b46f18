#include "jasminespar/standins/site_fault.h"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <random>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/standins/http_exchange.h"
#include "jasminespar/standins/site.h"

namespace jasminespar::standins {

using nlohmann::json;

namespace {

constexpr Duration kFaultFreeStart = 3s;
constexpr Duration kFaultFreeEnd = 5s;
constexpr Duration kListLag = 5s;
constexpr Duration kNoteTimeout = 5s;
constexpr int kGuaranteedWorkers = 1;

/// Generates faults; the same seed gives the same plan.
class FaultGenerator {
 public:
  FaultGenerator(const SitePlan& plan, std::uint64_t seed)
      : plan_(plan), random_(seed) {}

  Duration Between(Duration low, Duration high) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        low.count(), high.count())(random_));
  }

  SiteFault Make() {
    switch (Below(10)) {
      case 0:
        return KilledInstance{Instance()};
      case 1:
        return PausedInstance{Instance()};
      case 2:
        return ReplacedInstance{Instance()};
      case 3:
        return FaultyStore{
            kStoreFaultModeNames[1 + Below(kStoreFaultModeNames.size() - 1)]
                .value};
      case 4:
        return LaggingList{};
      case 5:
        return MakeWorkerFault();
      case 6:
        return RestartedWorker{Worker()};
      case 7:
        return MakeCut();
      case 8:
        return NoisyLink{Link()};
      default:
        return RacingNotes{static_cast<int>(Below(4))};
    }
  }

 private:
  std::size_t Below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  std::size_t Instance() { return Below(plan_.instances.size()); }
  WorkerId Worker() { return plan_.workers[Below(plan_.workers.size())].id; }

  SiteFault MakeWorkerFault() {
    static constexpr const char* kKeys[] = {"fail_everything", "leaving",
                                            "dead", "truncate_answers"};
    const WorkerId worker = Worker();
    return FaultyWorker{worker, kKeys[Below(std::size(kKeys))]};
  }

  SiteFault MakeCut() {
    CutLink cut{Link(), true, true};
    const std::size_t direction = Below(3);
    cut.to_target = direction != 1;
    cut.to_source = direction != 2;
    return cut;
  }

  /// @return a prefix of names of the proxy's routes.
  std::string Link() {
    const PlannedInstance& instance = plan_.instances[Instance()];
    switch (Below(4)) {
      case 0:
        return "platform/" + instance.data_centre.value + "/" +
               instance.id.value;
      case 1:
        return "peer/" + instance.data_centre.value + "/" + instance.id.value +
               "/";
      case 2:
        return "peer/" + instance.data_centre.value + "/";
      default:
        return "endpoint/" + std::to_string(Worker().value) + "/";
    }
  }

  const SitePlan& plan_;
  std::mt19937_64 random_;
};

/// @return what the fault acts on. Two faults with equal targets must not
///     overlap.
std::string TargetOf(const SiteFault& fault) {
  const auto instance = [](std::size_t index) {
    return "instance " + std::to_string(index);
  };
  return std::visit(
      Overloaded{[&](const KilledInstance& f) { return instance(f.index); },
                 [&](const PausedInstance& f) { return instance(f.index); },
                 [&](const ReplacedInstance& f) { return instance(f.index); },
                 [](const FaultyStore&) { return std::string("store"); },
                 [](const LaggingList&) { return std::string("list"); },
                 [](const FaultyWorker& f) {
                   return "worker " + std::to_string(f.worker.value);
                 },
                 [](const RestartedWorker& f) {
                   return "worker " + std::to_string(f.worker.value);
                 },
                 [](const CutLink& f) { return f.prefix.substr(0, 5); },
                 [](const NoisyLink& f) { return f.prefix.substr(0, 5); },
                 [](const RacingNotes&) { return std::string("notes"); }},
      fault);
}

void SendRacingNotes(const RacingNotes& race, Site& site) {
  std::uint64_t base = 0;
  const auto& instances = site.plan().instances;
  for (const PlannedInstance& instance : instances) {
    const auto body =
        FetchJson(instance.caller_port, "/v1/configuration", kNoteTimeout);
    if (body) base = std::max(base, body->value("revision", base));
  }
  for (std::size_t i = 0; i < 2; ++i) {
    const double weight = 1.0 + static_cast<double>(base % 5 + i);
    // Conflicts and refusals are expected; the soak checks the revisions.
    static_cast<void>(PostJson(
        instances[(base + i) % instances.size()].caller_port,
        "/v1/release-notes",
        MakeWeightNote("race-" + std::to_string(base) + "-" + std::to_string(i),
                       base, race.account, weight, kGuaranteedWorkers),
        kNoteTimeout));
  }
}

}  // namespace

std::vector<TimedFault> PlanFaults(const SitePlan& plan, std::uint64_t seed,
                                   Duration duration) {
  FaultGenerator generator(plan, seed);
  std::vector<TimedFault> faults;
  Duration at = kFaultFreeStart;
  while (true) {
    at += generator.Between(500ms, 3s);
    TimedFault next{at, generator.Between(1s, 8s), generator.Make()};
    if (at + next.duration + kFaultFreeEnd > duration) break;
    const std::string target = TargetOf(next.fault);
    const bool busy =
        std::any_of(faults.begin(), faults.end(), [&](const TimedFault& other) {
          return other.at + other.duration >= at &&
                 TargetOf(other.fault) == target;
        });
    if (!busy) faults.push_back(std::move(next));
  }
  return faults;
}

std::string Describe(const SiteFault& fault, const SitePlan& plan) {
  const auto id = [&plan](std::size_t index) {
    return plan.instances[index].id.value;
  };
  return std::visit(
      Overloaded{
          [&](const KilledInstance& f) { return "kill " + id(f.index); },
          [&](const PausedInstance& f) { return "pause " + id(f.index); },
          [&](const ReplacedInstance& f) { return "replace " + id(f.index); },
          [](const FaultyStore& f) {
            return "store " +
                   std::string(RowOf(kStoreFaultModeNames, f.mode).name);
          },
          [](const LaggingList&) { return std::string("list lags"); },
          [](const FaultyWorker& f) {
            return "worker " + std::to_string(f.worker.value) + " " + f.key;
          },
          [](const RestartedWorker& f) {
            return "worker " + std::to_string(f.worker.value) + " restarts";
          },
          [](const CutLink& f) {
            return "cut " + f.prefix + (f.to_target ? " to target" : "") +
                   (f.to_source ? " to source" : "");
          },
          [](const NoisyLink& f) { return "noise on " + f.prefix; },
          [](const RacingNotes&) { return std::string("notes race"); }},
      fault);
}

std::optional<std::size_t> TerminatedInstance(const SiteFault& fault) {
  if (const auto* killed = std::get_if<KilledInstance>(&fault)) {
    return killed->index;
  }
  if (const auto* replaced = std::get_if<ReplacedInstance>(&fault)) {
    return replaced->index;
  }
  return std::nullopt;
}

void BeginFault(const SiteFault& fault, Site& site) {
  std::visit(
      Overloaded{
          [&](const KilledInstance& f) { site.KillInstance(f.index); },
          [&](const PausedInstance& f) {
            site.instance(f.index).Signal(SIGSTOP);
          },
          [&](const ReplacedInstance& f) {
            site.instance(f.index).Signal(SIGTERM);
          },
          [&](const FaultyStore& f) {
            site.SetStoreFault(
                {{"mode", RowOf(kStoreFaultModeNames, f.mode).name},
                 {"delay_ms", 700},
                 {"probability", 0.5}});
          },
          [&](const LaggingList&) { site.SetListLag(kListLag); },
          [&](const FaultyWorker& f) {
            site.SetWorkerFault(f.worker, {{f.key, true}});
          },
          [&](const RestartedWorker& f) { site.RestartWorker(f.worker); },
          [&](const CutLink& f) {
            site.SetLinkFault(f.prefix, {{"cut_to_target", f.to_target},
                                         {"cut_to_source", f.to_source}});
          },
          [&](const NoisyLink& f) {
            site.SetLinkFault(f.prefix, {{"delay_ms", 20},
                                         {"close_probability", 0.02},
                                         {"drop_probability", 0.2},
                                         {"reorder_probability", 0.2},
                                         {"duplicate_probability", 0.2}});
          },
          [&](const RacingNotes& f) { SendRacingNotes(f, site); }},
      fault);
}

bool CanEnd(const SiteFault& fault, Site& site) {
  const auto* replaced = std::get_if<ReplacedInstance>(&fault);
  return replaced == nullptr || !site.instance(replaced->index).running();
}

void EndFault(const SiteFault& fault, Site& site) {
  std::visit(
      Overloaded{
          [&](const KilledInstance& f) { site.StartInstance(f.index); },
          [&](const PausedInstance& f) {
            site.instance(f.index).Signal(SIGCONT);
          },
          [&](const ReplacedInstance& f) { site.StartInstance(f.index); },
          [&](const FaultyStore&) {
            site.SetStoreFault({{"mode", "ok"}});
          },
          [&](const LaggingList&) { site.SetListLag({}); },
          [&](const FaultyWorker& f) {
            site.SetWorkerFault(f.worker, json::object());
          },
          [](const RestartedWorker&) {},
          [&](const CutLink& f) {
            site.SetLinkFault(f.prefix, json::object());
          },
          [&](const NoisyLink& f) {
            site.SetLinkFault(f.prefix, json::object());
          },
          [](const RacingNotes&) {}},
      fault);
}

}  // namespace jasminespar::standins
