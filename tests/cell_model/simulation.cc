#include "cell_model/simulation.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace jasminespar::cell_model {
namespace {

constexpr int kAcceleratorsPerWorker = 4;
constexpr Duration kClientPollInterval = 100ms;
/// Clients submit a call again until this long after its deadline.
constexpr Duration kSubmitGrace = 1s;
constexpr Duration kDrainDuration = 120s;
constexpr std::size_t kMaxClients = 60;

/// @return whether the client should send its call again to the next owner.
bool IsTransient(const Refusal& refusal) {
  return refusal.reason == Reason::kShuttingDown;
}

}  // namespace

Simulation::Simulation(const SimulationSettings& settings)
    : settings_(settings), site_{Timeline(settings.seed), {}, {},
                                 {{"dc-a/0"}, {}},        {}, {}} {
  site_.settings.mutation = settings.mutation;
  site_.settings.default_retention = 60s;
  site_.settings.orphan_grace = 3s;
  for (std::uint64_t i = 1; i <= settings.workers; ++i) {
    configuration::Worker worker;
    worker.id = WorkerId{i};
    worker.data_centre = {"dc-a"};
    worker.rack = static_cast<std::uint32_t>((i - 1) / 3);
    worker.accelerators = kAcceleratorsPerWorker;
    site_.topology.workers.push_back(std::move(worker));
    site_.workers.emplace(WorkerId{i},
                          std::make_unique<ModelWorker>(
                              WorkerId{i}, site_.topology.id, site_.timeline,
                              site_.checker, settings.worker_mutation));
  }
}

EventCounts Simulation::Run() {
  ReplaceOwner(true);
  GenerateCalls();
  PollClients();
  InjectFaults();
  while (site_.steps < settings_.steps && site_.timeline.RunNext()) {
  }
  StopFaultsAndArrivals();
  const TimePoint end = site_.timeline.now() + kDrainDuration;
  while (site_.timeline.now() < end && site_.timeline.RunNext()) {
  }
  CheckDrained();
  return site_.checker.counts;
}

ModelWorker& Simulation::RandomWorker() {
  const auto id = site_.timeline.RandomInt(
      1, static_cast<std::int64_t>(site_.workers.size()));
  return *site_.workers.at(WorkerId{static_cast<std::uint64_t>(id)});
}

void Simulation::GenerateCalls() {
  if (!generating_calls_) return;
  Timeline& timeline = site_.timeline;
  timeline.RunAfter(timeline.RandomDuration(1ms, 40ms),
                    [this] { GenerateCalls(); });
  if (clients_.size() >= kMaxClients) return;
  Client client;
  CallRequest& request = client.request;
  request.key = {{"school"}, {"matching"}, std::to_string(++last_key_)};
  request.id = IdOf(request.key);
  request.idempotence = timeline.Chance(500) ? Idempotence::kNonIdempotent
                                             : Idempotence::kIdempotent;
  client.collects = timeline.Chance(250);
  if (client.collects) request.delivery = Delivery::kCollect;
  request.priority = static_cast<Priority>(timeline.RandomInt(0, 2));
  if (timeline.Chance(300)) {
    request.gang.accelerators = static_cast<int>(timeline.RandomInt(2, 12));
  }
  request.time_left = timeline.RandomDuration(100ms, 8s);
  request.body = "body " + request.key.idempotency_key;
  client.submit_until = timeline.now() + request.time_left + kSubmitGrace;
  Submit(clients_.emplace(request.id, std::move(client)).first->second);
}

void Simulation::Submit(Client& client) {
  client.token = {0, ++last_token_};
  client.sent = site_.timeline.now();
  ModelOwner* target = &owner();
  // Some clients still send to the previous owner.
  if (owners_.size() > 1 && site_.timeline.Chance(100)) {
    target = owners_[owners_.size() - 2].get();
  }
  if (!target->alive()) return;
  site_.checker.OnSubmit(client.request, client.token, target->cell().epoch());
  target->Receive(cell::SubmitCall{client.token, client.request});
}

void Simulation::PollClients() {
  std::vector<CallId> done;
  for (auto& [id, client] : clients_) PollClient(client, done);
  for (const CallId& id : done) {
    site_.checker.RemoveCall(id);
    clients_.erase(id);
  }
  site_.timeline.RunAfter(kClientPollInterval, [this] { PollClients(); });
}

void Simulation::PollClient(Client& client, std::vector<CallId>& done) {
  const auto reply = site_.checker.ReplyTo(client.token);
  if (!reply) {
    const bool disconnects = site_.timeline.Chance(3);
    const bool timed_out = site_.timeline.now() - client.sent > 2s;
    if (disconnects || timed_out) Retry(client, done);
    return;
  }
  if (std::holds_alternative<cell::CallAcceptedReply>(*reply)) {
    client.accepted = true;
    LookUp(client);
    return;
  }
  if (std::holds_alternative<cell::CallStatus>(*reply)) {
    LookUp(client);
    return;
  }
  const Refusal* refusal = std::get_if<Refusal>(&*reply);
  if (refusal != nullptr && IsTransient(*refusal)) {
    Retry(client, done);
    return;
  }
  if (refusal != nullptr && client.accepted) {
    site_.checker.Check(refusal->reason != Reason::kNotFound, client.request.id,
                        "an accepted call was lost");
  }
  // The client stays for a while, so that later runs and replies are checked.
  if (site_.timeline.now() > client.submit_until + 10s) {
    done.push_back(client.request.id);
  } else if (site_.timeline.Chance(10)) {
    Retry(client, done);
  }
}

void Simulation::Retry(Client& client, std::vector<CallId>& done) {
  for (const auto& candidate : owners_) {
    candidate->Receive(cell::ForgetToken{client.token});
  }
  if (site_.timeline.now() > client.submit_until && !client.accepted) {
    if (site_.timeline.now() > client.submit_until + 10s) {
      done.push_back(client.request.id);
    }
    return;
  }
  if (client.accepted) {
    LookUp(client);
  } else {
    Submit(client);
  }
}

void Simulation::LookUp(Client& client) {
  if (!owner().alive()) return;
  client.token = {0, ++last_token_};
  client.sent = site_.timeline.now();
  site_.checker.OnLookUp(client.request, client.token, owner().cell().epoch());
  owner().Receive(cell::LookUpCall{client.token, client.request.id,
                                   client.request.key.account});
}

void Simulation::CancelRandomCalls() {
  for (const auto& [id, client] : clients_) {
    if (!site_.timeline.Chance(500)) continue;
    owner().Receive(
        cell::CancelCall{{1, ++last_token_}, id, client.request.key.account});
  }
}

void Simulation::InjectFaults() {
  if (!site_.faults) return;
  Timeline& timeline = site_.timeline;
  timeline.RunAfter(timeline.RandomDuration(100ms, 1500ms),
                    [this] { InjectFaults(); });
  switch (timeline.RandomInt(0, 5)) {
    case 0:
      InjectOwnerFault();
      break;
    case 1:
      CancelRandomCalls();
      break;
    case 2:
      site_.store.set_available(false);
      timeline.RunAfter(timeline.RandomDuration(50ms, 2s),
                        [this] { site_.store.set_available(true); });
      break;
    default:
      InjectWorkerFault();
      break;
  }
}

void Simulation::InjectOwnerFault() {
  switch (site_.timeline.RandomInt(0, 3)) {
    case 0:
      ReplaceOwner(true);
      break;
    case 1:
      ReplaceOwner(false);
      break;
    case 2:
      owner().Pause(site_.timeline.RandomDuration(100ms, 8s));
      if (site_.timeline.Chance(700)) {
        site_.timeline.RunAfter(50ms, [this] { ReplaceOwner(false); });
      }
      break;
    default:
      HandOver();
      break;
  }
}

void Simulation::ReplaceOwner(bool kill_old) {
  if (!owners_.empty() && kill_old) owner().Kill();
  std::erase_if(owners_, [](const auto& old) { return !old->alive(); });
  if (!owners_.empty()) ++site_.checker.counts.takeovers_from_live_owner;
  owners_.push_back(std::make_shared<ModelOwner>(site_));
  owner().Start();
}

void Simulation::HandOver() {
  const std::shared_ptr<ModelOwner> old = owners_.back();
  old->Receive(cell::BeginHandover{});
  site_.timeline.RunAfter(site_.timeline.RandomDuration(10ms, 1s), [this, old] {
    if (old != owners_.back()) return;
    ReplaceOwner(old->cell().quiescent());
  });
}

void Simulation::InjectWorkerFault() {
  Timeline& timeline = site_.timeline;
  ModelWorker& worker = RandomWorker();
  const Duration time = timeline.RandomDuration(100ms, 5s);
  switch (timeline.RandomInt(0, 4)) {
    case 0:
      ++site_.checker.counts.restarts;
      worker.Restart();
      break;
    case 1:
      worker.set_leaving(true);
      timeline.RunAfter(time, [&worker] { worker.set_leaving(false); });
      break;
    case 2:
      worker.set_fails_everything(true);
      timeline.RunAfter(time,
                        [&worker] { worker.set_fails_everything(false); });
      break;
    case 3:
      worker.set_reachable(false);
      timeline.RunAfter(time, [&worker] { worker.set_reachable(true); });
      break;
    default:
      // Long enough for leases to expire.
      worker.set_reachable(false);
      timeline.RunAfter(timeline.RandomDuration(5s, 25s),
                        [&worker] { worker.set_reachable(true); });
      break;
  }
}

void Simulation::StopFaultsAndArrivals() {
  site_.faults = false;
  generating_calls_ = false;
}

void Simulation::CheckDrained() {
  const auto check = [](bool holds, const std::string& rule) {
    if (!holds) throw std::logic_error("model, drained: " + rule);
  };
  for (const auto& [id, worker] : site_.workers) {
    check(worker->active_tasks() == 0, "a worker still holds accelerators");
  }
  const auto summary = owner().cell().Summary(site_.timeline.now());
  check(summary.free_accelerators == summary.total_accelerators,
        "accelerators are still allocated");
  check(
      summary.total_accelerators == settings_.workers * kAcceleratorsPerWorker,
      "a worker is still unused");
  check(summary.waiting_jobs == 0, "a job is still queued");
  check(clients_.empty(), "a client has not finished");
}

}  // namespace jasminespar::cell_model
