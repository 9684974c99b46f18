/// @file
/// Duty store link: all requests to the site's table, and watches of its rows.

#ifndef JASMINESPAR_JOBSERVER_STORE_LINK_H_
#define JASMINESPAR_JOBSERVER_STORE_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/runtime/reply_table.h"
#include "jasminespar/site/table_client.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Longest wait of a watch for a change. Short, so that an unresponsive
/// connection is detected in time for a change of the configuration.
inline constexpr Duration kWatchTimeout = 1s;

/// Runs on its duty's thread only.
class StoreLink {
 public:
  struct Rings {
    runtime::Channel<ToFront>& front;
    runtime::Channel<ToDispatch>& dispatch;
    runtime::Channel<ToPeers>& peers;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  /// @param self address of this instance, published to peers in the table.
  StoreLink(runtime::Duty& duty, const site::TableClientSettings& settings,
            const MemberAddress& self, const site::SiteCodec& codec,
            const Rings& rings, telemetry::Metrics& metrics);

  /// Starts the watches that every instance keeps, and enters this instance in
  /// the table of members. The cell's own watches start with BeginOwnership.
  void Start();

  void HandleFront(FrontToStore message);
  void HandleDispatch(DispatchToStore message);
  void HandlePeers(PeersToStore message);
  void HandleConfiguration(ConfigurationToStore message);

 private:
  using Coroutine = boost::asio::awaitable<void>;

  /// A table to read completely and then to watch for changes.
  struct TableWatch {
    std::string table;
    std::vector<std::string> partitions;
    std::function<Duration()> interval;  ///< Delay after an answer with rows.
    Duration timeout = kWatchTimeout;
    /// Called for each row that was read or has changed.
    std::function<void(const site::Row&)> on_row;
    /// Called after each complete read, with all keys; may be empty. A table is
    /// read completely again when it no longer keeps the changes asked for.
    std::function<void(const std::set<std::string>&)> on_loaded;
    /// Called when all changes up to a time were passed to `on_row`; may be
    /// empty.
    std::function<void(TimePoint)> on_confirmed;
    /// The watch ends once this returns false.
    std::function<bool()> active;
  };

  /// Starts a watch; an unexpected error starts it anew with a complete read.
  void Spawn(TableWatch watch);
  Coroutine WatchTable(TableWatch watch);
  /// Ends when the watch ends or the table no longer keeps the changes.
  /// @param after version of the table that was read already.
  Coroutine WatchChanges(const TableWatch& watch, site::RowVersion after);
  /// Reads the partitions of a table concurrently.
  /// @return one page with all rows and the lowest of the partitions' versions;
  ///     nothing when a partition could not be read in time.
  boost::asio::awaitable<std::optional<site::RowPage>> ReadPartitions(
      std::string table, std::vector<std::string> partitions);

  void WatchStatuses();
  void WatchOwner();
  void WatchMembers();
  void WatchJobs(Epoch epoch);
  void WatchWorkers(Epoch epoch);
  /// Reads the rows of emptied data centres again and again while this instance
  /// owns the cell under that epoch.
  Coroutine ReadEvacuations(Epoch epoch, Duration interval);

  Coroutine Write(WriteRows request, bool for_front);
  Coroutine Read(ReadRow request);
  /// Loads the progress and the enrolled workers of the cell, then starts the
  /// owner's watches.
  Coroutine Load(Epoch epoch);
  Coroutine Serve(ServePeerRequest request);
  /// Writes this instance's member row, and retries until it is stored.
  Coroutine RegisterMember();
  boost::asio::awaitable<site::TableOutcome> SendThroughPeer(
      site::TableRequest request);

  void HandleStatusRow(const site::Row& row);
  void HandleOwnerRow(const site::Row& row);
  void HandleMemberRow(const site::Row& row);
  void SendCancellationDeleted(const std::string& job);
  void HandleJobRow(const site::Row& row, Epoch epoch);
  void HandleWorkerRow(const site::Row& row, Epoch epoch);
  /// Reports a listed worker as no longer listed.
  void RemoveWorker(const std::string& name, jobs::UnlistedCause cause,
                    Epoch epoch);
  void LogUnreadableRow(const site::Row& row, const std::string& error);
  /// Updates metrics and reachability after an attempt on the table.
  void RecordOutcome(site::TablePath path, const site::TableOutcome& outcome);
  void NotifyDirectReachability();
  void NotifyReachability();

  runtime::Duty& duty_;
  MemberAddress self_;
  site::SiteCodec codec_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  runtime::ReplyTable<site::TableOutcome> relay_replies_;
  site::TableClient client_;
  /// Epoch under which this instance owns the cell.
  std::optional<Epoch> owned_epoch_;
  std::set<std::string> listed_workers_;
  std::set<std::string> members_;    ///< Instances that the table lists.
  std::set<std::string> cancelled_;  ///< Jobs with a cancellation row.
  std::map<jobs::JobId, std::vector<jobs::JobProgress>> loaded_progress_;
  bool workers_loaded_ = false;
  bool jobs_loaded_ = false;
  TimePoint last_answer_notified_at_;
  TimePoint unreachable_since_;
  bool notified_directly_reachable_ = false;
  bool notified_reachable_ = true;
  bool relay_available_ = false;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_STORE_LINK_H_
