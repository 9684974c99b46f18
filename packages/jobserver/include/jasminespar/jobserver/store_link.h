/// @file
/// Duty store link: every call to the site's table, and what is watched there.

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

/// A watch waits this long for a change. Short, so that a connection that has
/// gone silent is noticed in time for a change of the configuration.
inline constexpr Duration kWatchWait = 1s;

/// Runs on its duty's thread only.
class StoreLink {
 public:
  struct Rings {
    runtime::Channel<ToFront>& front;
    runtime::Channel<ToDispatch>& dispatch;
    runtime::Channel<ToPeers>& peers;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  /// @param self as peers are told of it.
  StoreLink(runtime::Duty& duty, const site::TableClientSettings& settings,
            const MemberSeen& self, const site::SiteCodec& codec,
            const Rings& rings, telemetry::Metrics& metrics);

  /// Starts the watches that every instance keeps.
  void Start();

  void HandleFront(FrontToStore message);
  void HandleDispatch(DispatchToStore message);
  void HandlePeers(PeersToStore message);

 private:
  using Task = boost::asio::awaitable<void>;

  /// A table that is read whole and then followed.
  struct Follow {
    std::string table;
    std::vector<std::string> parts;
    std::function<Duration()> pace;  ///< Between two answers.
    Duration wait = kWatchWait;
    /// Called for each row that was read or has changed.
    std::function<void(const site::Row&)> on_row;
    /// Called after the table was read whole, with all its keys.
    std::function<void(const std::set<std::string>&)> on_whole;
    /// Whether to go on.
    std::function<bool()> wanted;
  };

  Task FollowTable(Follow follow);
  Task FollowChanges(const Follow& follow, site::RowVersion after);
  /// Reads the parts of a table at once.
  /// @return a page of all rows with the lowest version; nothing when a part
  ///     could not be read in time.
  boost::asio::awaitable<std::optional<site::RowPage>> ReadParts(
      std::string table, std::vector<std::string> parts);

  void FollowConfiguration();
  void FollowStatuses();
  void FollowOwner();
  void FollowMembers();
  void FollowJobs(Epoch epoch);
  void FollowWorkers(Epoch epoch);

  Task Write(WriteRows request, bool for_front);
  Task Read(ReadRow request);
  Task Load(Epoch epoch);
  Task Serve(ServeRelay request);
  Task EnterMembers();
  boost::asio::awaitable<site::TableOutcome> AskPeer(
      site::TableRequest request);

  void TakeConfiguration(const site::Row& row);
  void TakeStatus(const site::Row& row);
  void TakeOwner(const site::Row& row);
  void TakeMember(const site::Row& row);
  void TakeJob(const site::Row& row, Epoch epoch);
  void TakeWorker(const site::Row& row, Epoch epoch);
  void ReportUnreadable(const site::Row& row, const std::string& what);
  void Observe(site::TablePath path, const site::TableOutcome& outcome);
  void TellReached();
  void TellUsable();

  runtime::Duty& duty_;
  MemberSeen self_;
  site::SiteCodec codec_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  runtime::ReplyTable<site::TableOutcome> relays_;
  site::TableClient client_;
  std::optional<Epoch> owned_;  ///< Epoch under which this instance owns.
  std::uint64_t configuration_version_ = 0;
  std::set<std::string> listed_workers_;
  std::set<std::string> members_;    ///< Instances that the table lists.
  std::set<std::string> cancelled_;  ///< Jobs with a cancellation row.
  std::map<std::string, jobs::JobProgress> loaded_progress_;
  bool workers_loaded_ = false;
  bool jobs_loaded_ = false;
  TimePoint last_seen_sent_;
  TimePoint failing_since_;
  bool reached_told_ = false;
  bool usable_told_ = true;
  bool relay_available_ = false;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_STORE_LINK_H_
