#include "jasminespar/cell/cell.h"

#include <utility>
#include <variant>

#include "admission.h"
#include "context.h"
#include "gang_control.h"
#include "jasminespar/core/overloaded.h"
#include "orphans.h"
#include "outcomes.h"
#include "recovery.h"
#include "snapshot.h"
#include "work_queue.h"

namespace jasminespar::cell {

/// Dispatches each input to the functions that handle it.
class Cell::State {
 public:
  State(const CellSettings& settings, Epoch epoch,
        configuration::CellTopology topology,
        const configuration::CellShare& share, RecoveredState recovered,
        Now now)
      : context_(settings, epoch, std::move(topology)),
        recovery_((context_.now = now, context_), std::move(recovered)) {
    context_.scheduler.ApplyShare(share, now.steady);
  }

  std::vector<Effect> Handle(Input input, Now now) {
    context_.now = now;
    std::visit([this](auto&& message) { On(std::move(message)); },
               std::move(input));
    HandleTimers();
    if (context_.recovering) recovery_.TryFinish(context_);
    RunScheduler(context_);
    return std::exchange(context_.effects, {});
  }

  [[nodiscard]] std::optional<TimePoint> NextTick(TimePoint now) const {
    std::optional<TimePoint> next = context_.timers.next();
    next = Earlier(next, context_.strays.next_timer());
    next = Earlier(next, context_.workers.next_timer());
    if (context_.recovering) return Earlier(next, recovery_.deadline());
    if (context_.handing_over) return next;
    return Earlier(next, context_.scheduler.NextDecision(now));
  }

  [[nodiscard]] const Context& context() const noexcept { return context_; }

  [[nodiscard]] bool quiescent() const {
    const bool in_progress =
        !context_.handing_over ||
        !context_.journal.IsDurable(context_.journal.last());
    if (in_progress) return false;
    for (const auto& [id, call] : context_.calls.calls()) {
      if (StateOf(call) == CallState::kPreparing) return false;
    }
    return true;
  }

 private:
  void On(SubmitCall submit) { Submit(context_, std::move(submit)); }
  void On(const LookUpCall& look_up) { LookUp(context_, look_up); }
  void On(const CancelCall& cancel) { Cancel(context_, cancel); }
  void On(const ForgetToken& forget) {
    context_.calls.UnregisterWaiter(forget.token);
  }

  void On(JournalDurable durable) {
    context_.journal.MarkDurable(durable.through);
    while (const std::optional<CallId> id =
               context_.journal.TakeDurableCall()) {
      if (Call* call = context_.calls.Find(*id)) {
        HandleDurableRecord(context_, *call);
      }
    }
  }

  void On(const TaskUpdate& update) {
    if (context_.recovering) {
      recovery_.DeferUpdate(update);
    } else {
      HandleTaskUpdate(context_, update);
    }
  }

  void On(const TaskOrderFailed& failure) {
    HandleOrderFailure(context_, failure);
  }

  void On(const WorkerReported& report) {
    if (context_.recovering) {
      recovery_.HandleWorkerReport(context_, report);
    } else {
      HandleWorkerReport(context_, report);
    }
  }

  void On(WorkerLost lost) {
    if (context_.recovering) {
      recovery_.HandleWorkerLost(context_, lost.worker);
    } else {
      HandleWorkerLost(context_, lost.worker);
    }
  }

  void On(TopologyChanged changed) {
    context_.workers.ApplyTopology(std::move(changed.topology),
                                   context_.now.steady);
  }

  void On(const ShareChanged& changed) {
    context_.scheduler.ApplyShare(changed.share, context_.now.steady);
    context_.decision_due = true;
  }

  void On(const StoreChanged& changed) {
    context_.store_available = changed.available;
    if (!changed.available) RefuseUnrecordedCalls(context_);
  }

  void On(BeginHandover /*begin*/) {
    context_.handing_over = true;
    RefuseWaitingCalls(context_);
  }

  void On(Tick /*tick*/) { context_.decision_due = true; }

  void HandleTimers() {
    while (const std::optional<CallId> id =
               context_.timers.PopDue(context_.now.steady)) {
      if (Call* call = context_.calls.Find(*id)) {
        HandleCallTimer(context_, *call);
      } else {
        HandleOrphanTimer(context_, *id);
      }
    }
    context_.strays.ResendDueStops(context_.now.steady, context_.effects);
    for (const WorkerId worker :
         context_.workers.TakeExpired(context_.now.steady)) {
      On(WorkerLost{worker});
    }
    context_.calls.PurgeForgotten(context_.now.steady,
                                  context_.settings.max_live_calls);
  }

  Context context_;
  Recovery recovery_;
};

Cell::Cell(const CellSettings& settings, Epoch epoch,
           configuration::CellTopology topology, configuration::CellShare share,
           RecoveredState recovered, Now now)
    : state_(std::make_unique<State>(settings, epoch, std::move(topology),
                                     share, std::move(recovered), now)) {}
Cell::~Cell() = default;
Cell::Cell(Cell&&) noexcept = default;
Cell& Cell::operator=(Cell&&) noexcept = default;

std::vector<Effect> Cell::Handle(Input input, Now now) {
  return state_->Handle(std::move(input), now);
}

std::optional<TimePoint> Cell::NextTick(TimePoint now) const {
  return state_->NextTick(now);
}

scheduling::LoadSummary Cell::Summary(TimePoint now) const {
  return state_->context().scheduler.Summary(now);
}

bool Cell::recovering() const noexcept { return state_->context().recovering; }

Epoch Cell::epoch() const noexcept { return state_->context().epoch; }

bool Cell::quiescent() const noexcept { return state_->quiescent(); }

std::vector<JournalRecord> Cell::SnapshotRecords() const {
  return cell::SnapshotRecords(state_->context());
}

}  // namespace jasminespar::cell
