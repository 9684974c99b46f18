/// @file
/// Duty front: callers' requests about jobs, and the balancer's question.

#ifndef JASMINESPAR_JOBSERVER_JOB_FRONT_H_
#define JASMINESPAR_JOBSERVER_JOB_FRONT_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/http/server.h"
#include "jasminespar/jobs/unsettled_submissions.h"
#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/runtime/reply_table.h"
#include "jasminespar/site/codec.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

struct JobFrontSettings {
  configuration::Address callers;
  configuration::Address readiness;
  http::ServerLimits limits;
};

/// Runs on its duty's thread only, but for what is said otherwise.
class JobFront {
 public:
  struct Rings {
    runtime::Channel<FrontToStore>& store;
    runtime::Channel<ToPeers>& peers;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  /// Binds both addresses.
  /// @throws std::exception when an address cannot be bound.
  JobFront(runtime::Duty& duty, const JobFrontSettings& settings,
           const site::SiteCodec& codec, const Rings& rings,
           telemetry::Metrics& metrics);

  void Start();
  void Handle(ToFront message);

  /// @return requests read and not yet answered. From any thread.
  [[nodiscard]] std::size_t requests_in_progress() const {
    return server_.requests_in_progress();
  }

 private:
  using Answer = boost::asio::awaitable<http::Response>;

  /// A request whose queue and key were checked.
  struct Call {
    http::Request request;
    jobs::QueueConfiguration queue;
    ClientAccountId account;
    TimePoint arrived;
    TimePoint deadline;  ///< The caller waits no longer.
  };

  void On(const ConfigurationSeen& seen);
  void On(const StatusSeen& seen);
  void On(const StatusForgotten& forgotten);
  void On(const CancellationSeen& seen);
  void On(const StatusesLoaded&);
  void On(WriteEnded& ended);
  void On(ReadEnded& ended);
  void On(const TableUsable& table);
  void On(const UnsettledAtPeer& unsettled);
  void On(const DrainFront&);

  Answer Serve(http::Request request);
  Answer ServeReadiness(http::Request request);
  Answer Submit(Call call, jobs::JobId id);
  Answer Show(Call call, jobs::JobId id);
  Answer Cancel(Call call, jobs::JobId id);
  [[nodiscard]] http::Response CountPending(const Call& call);

  using WriteOutcome = std::optional<site::TableOutcome>;
  /// @return nothing when the store link does not answer in time.
  boost::asio::awaitable<WriteOutcome> Write(site::Transaction transaction,
                                             TimePoint deadline);
  void TellUnsettled();

  /// Fills what the table holds of a job that the watch has not shown.
  /// @return nothing when the table could not be read in time.
  boost::asio::awaitable<std::optional<bool>> FindStatus(jobs::JobId id,
                                                         TimePoint deadline);
  [[nodiscard]] jobs::JobPhase PhaseOf(const jobs::JobId& id) const;
  [[nodiscard]] bool Knows(const jobs::JobId& id) const {
    return statuses_.contains(id);
  }
  [[nodiscard]] http::Response Refuse(Reason reason, const jobs::JobId& id,
                                      const std::string& detail,
                                      TimePoint arrived);

  runtime::Duty& duty_;
  site::SiteCodec codec_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  http::Server server_;
  http::Server readiness_server_;
  std::shared_ptr<const jobs::SiteConfiguration> configuration_;
  std::unordered_map<jobs::JobId, jobs::JobStatus> statuses_;
  std::set<jobs::JobId> cancelled_;
  jobs::UnsettledSubmissions unsettled_;
  runtime::ReplyTable<site::TableOutcome> writes_;
  runtime::ReplyTable<site::TableOutcome> reads_;
  bool statuses_loaded_ = false;
  bool table_usable_ = true;
  bool draining_ = false;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_JOB_FRONT_H_
