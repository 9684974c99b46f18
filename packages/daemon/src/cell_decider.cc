#include "jasminespar/daemon/cell_decider.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "jasminespar/configuration/split.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {
namespace {

constexpr Duration kReportInterval = 100ms;

cell::Now CurrentTime() {
  return {runtime::SteadyNow(), cell::WallTime{runtime::WallMilliseconds()}};
}

/// @return the token to which the input expects a reply, if any.
std::optional<cell::ReplyToken> TokenOf(const cell::Input& input) {
  return std::visit(
      [](const auto& message) -> std::optional<cell::ReplyToken> {
        if constexpr (requires { message.token; }) {
          using Message = std::decay_t<decltype(message)>;
          if constexpr (!std::is_same_v<Message, cell::ForgetToken>) {
            return message.token;
          }
        }
        return std::nullopt;
      },
      input);
}

}  // namespace

CellDecider::CellDecider(runtime::Duty& duty,
                         const cell::CellSettings& settings,
                         DeciderOutputs outputs, telemetry::Metrics& metrics)
    : settings_(settings),
      outputs_(outputs),
      metrics_(metrics),
      tick_timer_(duty.context()),
      report_timer_(duty.context()),
      topology_(std::make_shared<std::vector<configuration::CellTopology>>()),
      configuration_(std::make_shared<configuration::Configuration>()) {
  metrics_.Set(telemetry::Gauge::kStoreAvailable, 1);  // Until a request fails.
}

void CellDecider::Start() { SendOwnedCells(); }

void CellDecider::Handle(ToDecider message) {
  std::visit([this](auto&& alternative) { On(std::move(alternative)); },
             std::move(message));
  ScheduleTick();
}

void CellDecider::On(CellInput message) {
  const auto found = cells_.find(message.cell);
  if (found == cells_.end() ||
      (message.epoch && *message.epoch != found->second.cell.epoch())) {
    RefuseUnownedCell(message);
    return;
  }
  OwnedCell& owned = found->second;
  if (const auto token = TokenOf(message.input)) {
    owned.pending_tokens.insert(*token);
  }
  if (const auto* forget = std::get_if<cell::ForgetToken>(&message.input)) {
    owned.pending_tokens.erase(forget->token);
  }
  HandleInput(found->first, owned, std::move(message.input));
}

void CellDecider::RefuseUnownedCell(const CellInput& message) {
  const auto token = TokenOf(message.input);
  if (!token) return;
  Refusal refusal;
  refusal.reason = Reason::kNotOwner;
  SendReply(*token, refusal);
}

void CellDecider::On(CellClaimed message) {
  configuration::CellTopology topology = TopologyOf(message.cell);
  cell::Cell cell(settings_, message.epoch, topology, ShareOf(message.cell),
                  std::move(message.recovered), CurrentTime());
  if (const auto held = cells_.find(message.cell); held != cells_.end()) {
    // A durable claim replaces a provisional one; pending calls are retried.
    const Epoch replaced = held->second.cell.epoch();
    if (message.epoch <= replaced) return;
    On(CellLost{message.cell, replaced, Reason::kStaleEpoch});
  }
  cells_.emplace(message.cell, OwnedCell{std::move(cell), {}, false, false});
  outputs_.endpoint.Send(BeginOwnership{message.epoch, std::move(topology)});
  if (!store_available_) {
    HandleInput(message.cell, cells_.at(message.cell),
                cell::StoreChanged{false});
  }
  telemetry::LogEvent(telemetry::Event::kRecoveryStarted,
                      {{"cell", message.cell.value},
                       {"epoch", std::to_string(message.epoch.durable)}});
  SendOwnedCells();
}

void CellDecider::On(const CellLost& message) {
  const auto found = cells_.find(message.cell);
  if (found == cells_.end() || found->second.cell.epoch() != message.epoch) {
    return;
  }
  // Pending calls are retried with the next owner, which knows what ran here.
  for (const cell::ReplyToken& token : found->second.pending_tokens) {
    Refusal refusal;
    refusal.reason = message.reason;
    refusal.verdict = Verdict::kMayHaveRun;
    SendReply(token, refusal);
  }
  cells_.erase(found);
  metrics_.Count(telemetry::Counter::kCellsLost);
  outputs_.endpoint.Send(EndOwnership{message.cell});
  telemetry::LogEvent(telemetry::Event::kCellLost,
                      {{"cell", message.cell.value},
                       {"epoch", std::to_string(message.epoch.durable)},
                       {"reason", std::string(NameOf(message.reason))}});
  SendOwnedCells();
}

void CellDecider::On(const HandOverCell& message) {
  const auto found = cells_.find(message.cell);
  if (found == cells_.end() || found->second.handing_over) return;
  found->second.handing_over = true;
  telemetry::LogEvent(telemetry::Event::kHandoverStarted,
                      {{"cell", message.cell.value}});
  HandleInput(found->first, found->second, cell::BeginHandover{});
}

void CellDecider::On(const SnapshotRequested& message) {
  const auto found = cells_.find(message.cell);
  if (found == cells_.end() || found->second.cell.epoch() != message.epoch) {
    return;
  }
  outputs_.platform.Send(SnapshotTaken{message.cell, message.epoch,
                                       found->second.cell.SnapshotRecords()});
}

void CellDecider::On(const StoreAvailable& message) {
  store_available_ = message.available;
  metrics_.Set(telemetry::Gauge::kStoreAvailable, message.available ? 1 : 0);
  for (auto& [id, owned] : cells_) {
    HandleInput(id, owned, cell::StoreChanged{store_available_});
  }
}

void CellDecider::On(const CellsUpdate& message) {
  topology_ = message.cells;
  SplitGuarantees();
  for (auto& [id, owned] : cells_) {
    configuration::CellTopology topology = TopologyOf(id);
    outputs_.endpoint.Send(CellTopologyUpdate{topology});
    HandleInput(id, owned, cell::TopologyChanged{std::move(topology)});
    HandleInput(id, owned, cell::ShareChanged{ShareOf(id)});
  }
}

void CellDecider::On(const ConfigurationUpdate& message) {
  configuration_ = message.configuration;
  SplitGuarantees();
  for (auto& [id, owned] : cells_) {
    HandleInput(id, owned, cell::ShareChanged{ShareOf(id)});
  }
}

void CellDecider::HandleInput(const CellId& id, OwnedCell& owned,
                              cell::Input input) {
  const bool was_recovering = owned.cell.recovering();
  const cell::Now now = CurrentTime();
  std::vector<cell::Effect> effects = owned.cell.Handle(std::move(input), now);
  metrics_.Observe(telemetry::Timing::kDecision,
                   runtime::SteadyNow() - now.steady);
  for (cell::Effect& effect : effects)
    PerformEffect(id, owned, std::move(effect));
  if (was_recovering && !owned.cell.recovering()) {
    telemetry::LogEvent(telemetry::Event::kCellRecovered, {{"cell", id.value}});
    SendOwnedCells();
  }
  FinishHandover(id, owned);
}

void CellDecider::FinishHandover(const CellId& id, OwnedCell& owned) {
  if (!owned.handing_over || owned.finish_requested || !owned.cell.quiescent())
    return;
  owned.finish_requested = true;
  outputs_.platform.Send(JournalFinishRequested{id, owned.cell.epoch()});
}

void CellDecider::PerformEffect(const CellId& id, OwnedCell& owned,
                                cell::Effect effect) {
  const Epoch epoch = owned.cell.epoch();
  auto request_task = [&](auto task_effect) {
    outputs_.endpoint.Send(
        TaskRequested{id, epoch, TaskEffect(std::move(task_effect))});
  };
  std::visit(
      Overloaded{
          [&](cell::SendReply& reply) {
            owned.pending_tokens.erase(reply.token);
            SendReply(reply.token, std::move(reply.reply));
          },
          [&](cell::AppendJournal& append) {
            outputs_.platform.Send(
                JournalAppendRequested{id, epoch, std::move(append)});
          },
          [&](cell::OrderTask& order) { request_task(std::move(order)); },
          [&](cell::ReleaseTask& release) { request_task(release); },
          [&](cell::StopTask& stop) { request_task(stop); },
          [&](cell::ForgetTask& forget) { request_task(forget); },
          [&](const cell::CountRetry& retry) {
            metrics_.CountRetry(retry.reason);
          },
          [&](const cell::CountStaleMessage&) {
            metrics_.Count(telemetry::Counter::kStaleAnswers);
          },
      },
      effect);
}

void CellDecider::SendReply(cell::ReplyToken token, cell::CallReply reply) {
  if (token.origin == 0) {
    outputs_.front.Send(CallReplied{token.number, std::move(reply)});
  } else {
    outputs_.peer.Send(ForwardedCallReplied{token, std::move(reply)});
  }
}

void CellDecider::ScheduleTick() {
  const TimePoint now = runtime::SteadyNow();
  std::optional<TimePoint> earliest;
  for (const auto& [id, owned] : cells_) {
    const auto next = owned.cell.NextTick(now);
    if (next && (!earliest || *next < *earliest)) earliest = next;
  }
  if (!earliest) {
    tick_timer_.cancel();
    return;
  }
  tick_timer_.expires_after(std::max(Duration::zero(), *earliest - now));
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void CellDecider::Tick() {
  const TimePoint now = runtime::SteadyNow();
  for (auto& [id, owned] : cells_) {
    const auto next = owned.cell.NextTick(now);
    if (next && *next <= now) HandleInput(id, owned, cell::Tick{});
  }
  ScheduleTick();
}

void CellDecider::SendOwnedCells() {
  const TimePoint now = runtime::SteadyNow();
  OwnedCellsUpdate report;
  for (const auto& [id, owned] : cells_) {
    membership::OwnedCell cell;
    cell.cell = id;
    cell.epoch = owned.cell.epoch();
    cell.recovering = owned.cell.recovering();
    cell.load = owned.cell.Summary(now);
    report.cells.push_back(std::move(cell));
  }
  UpdateGauges(report);
  outputs_.peer.Send(std::move(report));
  report_timer_.expires_after(kReportInterval);
  report_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) SendOwnedCells();
  });
}

void CellDecider::UpdateGauges(const OwnedCellsUpdate& report) {
  scheduling::LoadSummary sum;
  for (const membership::OwnedCell& cell : report.cells) {
    sum.free_accelerators += cell.load.free_accelerators;
    sum.total_accelerators += cell.load.total_accelerators;
    sum.waiting_jobs += cell.load.waiting_jobs;
    sum.running_jobs += cell.load.running_jobs;
    sum.largest_free_shape =
        std::max(sum.largest_free_shape, cell.load.largest_free_shape);
  }
  using telemetry::Gauge;
  metrics_.Set(Gauge::kCellsOwned, static_cast<double>(report.cells.size()));
  metrics_.Set(Gauge::kFreeAccelerators, sum.free_accelerators);
  metrics_.Set(Gauge::kTotalAccelerators, sum.total_accelerators);
  metrics_.Set(Gauge::kWaitingCalls, sum.waiting_jobs);
  metrics_.Set(Gauge::kRunningCalls, sum.running_jobs);
  metrics_.Set(Gauge::kLargestFreeShape, sum.largest_free_shape);
}

configuration::CellTopology CellDecider::TopologyOf(const CellId& id) const {
  for (const configuration::CellTopology& cell : *topology_) {
    if (cell.id == id) return cell;
  }
  return {id, {}};
}

configuration::CellShare CellDecider::ShareOf(const CellId& id) const {
  const auto found = shares_.find(id);
  return found == shares_.end() ? configuration::CellShare{} : found->second;
}

void CellDecider::SplitGuarantees() {
  configuration::SplitResult split =
      configuration::Split(*configuration_, *topology_, shares_);
  shares_ = std::move(split.shares);
  for (const configuration::UnplacedGuarantee& unplaced : split.unplaced) {
    telemetry::LogEvent(telemetry::Event::kGuaranteeInfeasible,
                        {{"account", unplaced.account.value},
                         {"count", std::to_string(unplaced.missing.count)}});
  }
  metrics_.Set(telemetry::Gauge::kInfeasibleGuarantees,
               static_cast<double>(split.unplaced.size()));
}

}  // namespace jasminespar::daemon
