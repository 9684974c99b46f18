/// @file
/// Duty cell_decider: holds the state of every cell that this instance owns,
/// and performs the effects of its decisions.

#ifndef JASMINESPAR_DAEMON_CELL_DECIDER_H_
#define JASMINESPAR_DAEMON_CELL_DECIDER_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <vector>

#include "jasminespar/cell/cell.h"
#include "jasminespar/daemon/duty_messages.h"
#include "jasminespar/runtime/channel.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

struct DeciderOutputs {
  runtime::Channel<ToFront>& front;
  runtime::Channel<ToPeer>& peer;
  runtime::Channel<ToEndpoint>& endpoint;
  runtime::Channel<ToPlatform>& platform;
};

/// Runs on its duty's thread only.
class CellDecider {
 public:
  CellDecider(runtime::Duty& duty, const cell::CellSettings& settings,
              DeciderOutputs outputs, telemetry::Metrics& metrics);

  /// Starts the periodic reports. Runs on the duty's thread.
  void Start();

  void Handle(ToDecider message);

 private:
  struct OwnedCell {
    cell::Cell cell;
    std::set<cell::ReplyToken> pending_tokens;  // Not replied to yet.
    bool handing_over = false;
    bool finish_requested = false;  // From the journal.
  };

  void On(CellInput message);
  void On(CellClaimed message);
  void On(const CellLost& message);
  void On(const HandOverCell& message);
  void On(const SnapshotRequested& message);
  void On(const StoreAvailable& message);
  void On(const CellsUpdate& message);
  void On(const ConfigurationUpdate& message);

  void HandleInput(const CellId& id, OwnedCell& owned, cell::Input input);
  void PerformEffect(const CellId& id, OwnedCell& owned, cell::Effect effect);
  void SendReply(cell::ReplyToken token, cell::CallReply reply);
  void FinishHandover(const CellId& id, OwnedCell& owned);
  /// Replies kNotOwner if the input expects a reply.
  void RefuseUnownedCell(const CellInput& message);
  void ScheduleTick();
  void Tick();
  /// Sends the owned cells and their load to the peer link, immediately and
  /// then at every report interval.
  void SendOwnedCells();
  [[nodiscard]] configuration::CellTopology TopologyOf(const CellId& id) const;
  [[nodiscard]] configuration::CellShare ShareOf(const CellId& id) const;
  /// Recomputes `shares_`; logs guarantees that could not be placed.
  void SplitGuarantees();
  void UpdateGauges(const OwnedCellsUpdate& report);

  cell::CellSettings settings_;
  DeciderOutputs outputs_;
  telemetry::Metrics& metrics_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer report_timer_;
  std::map<CellId, OwnedCell> cells_;
  bool store_available_ = true;
  CellsPtr topology_;
  ConfigurationPtr configuration_;
  /// Guarantees split over the cells; recomputed when guarantees or cells
  /// change.
  std::map<CellId, configuration::CellShare> shares_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_CELL_DECIDER_H_
