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

#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/site/table_client.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Runs on its duty's thread only.
class StoreLink {
 public:
  struct Rings {
    runtime::Channel<ToFront>& front;
    runtime::Channel<ToDispatch>& dispatch;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  StoreLink(runtime::Duty& duty, const site::TableClientSettings& settings,
            const site::SiteCodec& codec, const Rings& rings,
            telemetry::Metrics& metrics);

  /// Starts the watches that every instance keeps.
  void Start();

  void HandleFront(ToStore message);
  void HandleDispatch(ToStore message);

 private:
  using Task = boost::asio::awaitable<void>;

  /// A table that is read whole and then followed.
  struct Follow {
    std::string table;
    std::string part;
    Duration pace{};  ///< Between two answers.
    /// Called for each row that was read or has changed.
    std::function<void(const site::Row&)> on_row;
    /// Called after the table was read whole, with all its keys.
    std::function<void(const std::set<std::string>&)> on_whole;
    /// Whether to go on.
    std::function<bool()> wanted;
  };

  Task FollowTable(Follow follow);
  Task FollowChanges(const Follow& follow, site::RowVersion after);

  void FollowConfiguration();
  void FollowStatuses();
  void FollowOwner();
  void FollowJobs(Epoch epoch);
  void FollowWorkers(Epoch epoch);

  Task Write(WriteRows request, bool for_front);
  Task Read(ReadRow request);
  Task Load(Epoch epoch);

  void TakeConfiguration(const site::Row& row);
  void TakeStatus(const site::Row& row);
  void TakeOwner(const site::Row& row);
  void TakeJob(const site::Row& row, Epoch epoch);
  void TakeWorker(const site::Row& row, Epoch epoch);
  void ReportUnreadable(const site::Row& row, const std::string& what);
  void Observe(site::TableHealth health);

  runtime::Duty& duty_;
  site::SiteCodec codec_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  site::TableClient client_;
  std::optional<Epoch> owned_;  ///< Epoch under which this instance owns.
  std::uint64_t configuration_version_ = 0;
  std::set<std::string> listed_workers_;
  std::set<std::string> cancelled_;  ///< Jobs with a cancellation row.
  std::map<std::string, jobs::JobProgress> loaded_progress_;
  bool workers_loaded_ = false;
  bool jobs_loaded_ = false;
  TimePoint last_seen_sent_;
  TimePoint failing_since_;
  bool failing_ = false;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_STORE_LINK_H_
