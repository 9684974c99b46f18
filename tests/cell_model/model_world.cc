#include "cell_model/model_world.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace jasminespar::cell_model {
namespace {

constexpr int kAcceleratorsPerWorker = 4;
constexpr Duration kWatchInterval = 100ms;
constexpr Duration kPatience = 1s;  ///< Past the deadline.
constexpr Duration kDrainTime = 120s;
constexpr std::size_t kMaxClients = 60;

/// @return whether the client should send its call again to the next owner.
bool IsTransient(const Refusal& refusal) {
  return refusal.reason == Reason::kShuttingDown;
}

}  // namespace

ModelWorld::ModelWorld(const WorldSettings& settings)
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
                              site_.auditor, settings.worker_mutation));
  }
}

Tally ModelWorld::Run() {
  Replace(true);
  ArriveLoop();
  WatchLoop();
  FaultLoop();
  while (site_.steps < settings_.steps && site_.timeline.Step()) {
  }
  EndFaults();
  const TimePoint end = site_.timeline.now() + kDrainTime;
  while (site_.timeline.now() < end && site_.timeline.Step()) {
  }
  CheckDrained();
  return site_.auditor.tally;
}

ModelWorker& ModelWorld::AnyWorker() {
  const auto id = site_.timeline.Uniform(
      1, static_cast<std::int64_t>(site_.workers.size()));
  return *site_.workers.at(WorkerId{static_cast<std::uint64_t>(id)});
}

void ModelWorld::ArriveLoop() {
  if (!arriving_) return;
  Timeline& timeline = site_.timeline;
  timeline.After(timeline.Between(1ms, 40ms), [this] { ArriveLoop(); });
  if (clients_.size() >= kMaxClients) return;
  Client client;
  CallRequest& request = client.request;
  request.key = {{"school"}, {"matching"}, std::to_string(++last_key_)};
  request.id = IdOf(request.key);
  request.idempotence = timeline.Chance(500) ? Idempotence::kNonIdempotent
                                             : Idempotence::kIdempotent;
  client.collects = timeline.Chance(250);
  if (client.collects) request.delivery = Delivery::kCollect;
  request.priority = static_cast<Priority>(timeline.Uniform(0, 2));
  if (timeline.Chance(300)) {
    request.gang.accelerators = static_cast<int>(timeline.Uniform(2, 12));
  }
  request.time_left = timeline.Between(100ms, 8s);
  request.body = "body " + request.key.idempotency_key;
  client.give_up = timeline.now() + request.time_left + kPatience;
  Submit(clients_.emplace(request.id, std::move(client)).first->second);
}

void ModelWorld::Submit(Client& client) {
  client.token = {0, ++last_token_};
  client.sent = site_.timeline.now();
  ModelOwner* target = &owner();
  // Some clients still believe in the owner before.
  if (owners_.size() > 1 && site_.timeline.Chance(100)) {
    target = owners_[owners_.size() - 2].get();
  }
  if (!target->alive()) return;
  site_.auditor.OnSubmit(client.request, client.token, target->cell().epoch());
  target->Give(cell::SubmitCall{client.token, client.request});
}

void ModelWorld::WatchLoop() {
  std::vector<CallId> done;
  for (auto& [id, client] : clients_) Watch(client, done);
  for (const CallId& id : done) {
    site_.auditor.Retire(id);
    clients_.erase(id);
  }
  site_.timeline.After(kWatchInterval, [this] { WatchLoop(); });
}

void ModelWorld::Watch(Client& client, std::vector<CallId>& done) {
  const auto reply = site_.auditor.ReplyTo(client.token);
  if (!reply) {
    const bool forgets = site_.timeline.Chance(3);
    const bool timed_out = site_.timeline.now() - client.sent > 2s;
    if (forgets || timed_out) Retry(client, done);
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
    site_.auditor.Check(refusal->reason != Reason::kNotFound, client.request.id,
                        "an accepted call was lost");
  }
  // Kept for a time, so that later runs and replies are still judged.
  if (site_.timeline.now() > client.give_up + 10s) {
    done.push_back(client.request.id);
  } else if (site_.timeline.Chance(10)) {
    Retry(client, done);
  }
}

void ModelWorld::Retry(Client& client, std::vector<CallId>& done) {
  for (const auto& candidate : owners_) {
    candidate->Give(cell::ForgetToken{client.token});
  }
  if (site_.timeline.now() > client.give_up && !client.accepted) {
    if (site_.timeline.now() > client.give_up + 10s) {
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

void ModelWorld::LookUp(Client& client) {
  if (!owner().alive()) return;
  client.token = {0, ++last_token_};
  client.sent = site_.timeline.now();
  site_.auditor.OnLookUp(client.request, client.token, owner().cell().epoch());
  owner().Give(cell::LookUpCall{client.token, client.request.id,
                                client.request.key.account});
}

void ModelWorld::CancelWave() {
  for (const auto& [id, client] : clients_) {
    if (!site_.timeline.Chance(500)) continue;
    owner().Give(
        cell::CancelCall{{1, ++last_token_}, id, client.request.key.account});
  }
}

void ModelWorld::FaultLoop() {
  if (!site_.faults) return;
  Timeline& timeline = site_.timeline;
  timeline.After(timeline.Between(100ms, 1500ms), [this] { FaultLoop(); });
  switch (timeline.Uniform(0, 5)) {
    case 0:
      OwnerFault();
      break;
    case 1:
      CancelWave();
      break;
    case 2:
      site_.store.set_available(false);
      timeline.After(timeline.Between(50ms, 2s),
                     [this] { site_.store.set_available(true); });
      break;
    default:
      WorkerFault();
      break;
  }
}

void ModelWorld::OwnerFault() {
  switch (site_.timeline.Uniform(0, 3)) {
    case 0:
      Replace(true);
      break;
    case 1:
      Replace(false);
      break;
    case 2:
      owner().Pause(site_.timeline.Between(100ms, 8s));
      if (site_.timeline.Chance(700)) {
        site_.timeline.After(50ms, [this] { Replace(false); });
      }
      break;
    default:
      HandOver();
      break;
  }
}

void ModelWorld::Replace(bool kill_old) {
  if (!owners_.empty() && kill_old) owner().Kill();
  std::erase_if(owners_, [](const auto& old) { return !old->alive(); });
  if (!owners_.empty()) ++site_.auditor.tally.takeovers_with_two;
  owners_.push_back(std::make_shared<ModelOwner>(site_));
  owner().Begin();
}

void ModelWorld::HandOver() {
  const std::shared_ptr<ModelOwner> old = owners_.back();
  old->Give(cell::BeginHandover{});
  site_.timeline.After(site_.timeline.Between(10ms, 1s), [this, old] {
    if (old != owners_.back()) return;
    Replace(old->cell().quiescent());
  });
}

void ModelWorld::WorkerFault() {
  Timeline& timeline = site_.timeline;
  ModelWorker& worker = AnyWorker();
  const Duration time = timeline.Between(100ms, 5s);
  switch (timeline.Uniform(0, 4)) {
    case 0:
      ++site_.auditor.tally.restarts;
      worker.Restart();
      break;
    case 1:
      worker.set_leaving(true);
      timeline.After(time, [&worker] { worker.set_leaving(false); });
      break;
    case 2:
      worker.set_fails_everything(true);
      timeline.After(time, [&worker] { worker.set_fails_everything(false); });
      break;
    case 3:
      worker.set_reachable(false);
      timeline.After(time, [&worker] { worker.set_reachable(true); });
      break;
    default:
      // Long enough for leases to lapse.
      worker.set_reachable(false);
      timeline.After(timeline.Between(5s, 25s),
                     [&worker] { worker.set_reachable(true); });
      break;
  }
}

void ModelWorld::EndFaults() {
  site_.faults = false;
  arriving_ = false;
}

void ModelWorld::CheckDrained() {
  const auto check = [](bool holds, const std::string& rule) {
    if (!holds) throw std::logic_error("model, drained: " + rule);
  };
  for (const auto& [id, worker] : site_.workers) {
    check(worker->busy() == 0, "a worker still holds accelerators");
  }
  const auto summary = owner().cell().Summary(site_.timeline.now());
  check(summary.free_accelerators == summary.total_accelerators,
        "accelerators are still allocated");
  check(
      summary.total_accelerators == settings_.workers * kAcceleratorsPerWorker,
      "a worker is still not used");
  check(summary.waiting_jobs == 0, "a job still waits");
  check(clients_.empty(), "a client still waits");
}

}  // namespace jasminespar::cell_model
