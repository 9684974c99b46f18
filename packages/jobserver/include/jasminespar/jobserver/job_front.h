/// @file
/// Duty front: serves callers' requests about jobs, and the load balancer's
/// readiness check.

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
#include "jasminespar/jobs/retry_advice.h"
#include "jasminespar/jobs/unsettled_submissions.h"
#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/runtime/reply_table.h"
#include "jasminespar/site/codec.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

struct JobFrontSettings {
  configuration::Address callers;    ///< Listens for callers' requests.
  configuration::Address readiness;  ///< Listens for readiness checks.
  http::ServerLimits limits;         ///< Of callers.
  http::ServerLimits probe_limits;   ///< Of readiness checks.
};

/// Runs on its duty's thread only, unless stated otherwise.
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

  /// @return requests read and not yet answered. Callable from any thread.
  [[nodiscard]] std::size_t requests_in_progress() const {
    return server_.requests_in_progress();
  }

 private:
  using AsyncResponse = boost::asio::awaitable<http::Response>;

  /// A request that passed the checks of its queue, key and size.
  struct Call {
    http::Request request;
    jobs::QueueConfiguration queue;
    Revision revision;  ///< Of the configuration that `queue` is from.
    ClientAccountId account;
    TimePoint arrived;
    TimePoint deadline;  ///< The caller's, less kAnswerMargin.
  };

  void On(const ConfigurationUpdate& update);
  void On(const StatusUpdate& update);
  void On(const StatusDeleted& deleted);
  void On(const CancellationFound& found);
  void On(const CancellationDeleted& deleted);
  void On(const StatusesLoaded&);
  void On(WriteCompleted& completed);
  void On(ReadCompleted& completed);
  void On(const TableReachable& table);
  void On(const PeerUnsettledSubmissions& unsettled);
  void On(const DrainFront&);

  AsyncResponse Serve(http::Request request);
  AsyncResponse ServeReadiness(http::Request request);
  AsyncResponse Submit(Call call, jobs::JobId id);
  AsyncResponse Show(Call call, jobs::JobId id);
  AsyncResponse Cancel(Call call, jobs::JobId id);
  [[nodiscard]] http::Response CountPending(const Call& call);

  using WriteOutcome = std::optional<site::TableOutcome>;
  /// Sends a transaction to the store link.
  /// @return nothing when the store link does not answer in time.
  boost::asio::awaitable<WriteOutcome> Write(site::Transaction transaction,
                                             TimePoint deadline);
  /// Sends this instance's unsettled submissions to the peer link.
  void PublishUnsettled();

  /// Reads a job's status from the table if the watch has not reported it yet.
  /// @return whether the job exists; nothing when the table could not be read
  ///     in time.
  boost::asio::awaitable<std::optional<bool>> FindStatus(jobs::JobId id,
                                                         TimePoint deadline);
  /// @return the phase shown to callers: cancelled as soon as a cancellation is
  ///     stored, unless the job has ended.
  [[nodiscard]] jobs::JobPhase PhaseOf(const jobs::JobId& id) const;
  [[nodiscard]] bool HasStatus(const jobs::JobId& id) const {
    return statuses_.contains(id);
  }
  /// Counts a request that was refused before it was read to its end.
  [[nodiscard]] http::Response RejectUnread(Reason reason);
  /// Logs and counts a refusal, or an unknown outcome.
  /// @param detail for the log only.
  [[nodiscard]] http::Response Refuse(Reason reason, const jobs::JobId& id,
                                      const std::string& detail,
                                      TimePoint arrived);

  site::SiteCodec codec_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  std::size_t default_max_body_bytes_;
  http::Server server_;
  http::Server readiness_server_;
  std::shared_ptr<const jobs::ConfigurationSnapshot> configuration_;
  std::unordered_map<jobs::JobId, jobs::JobStatus> statuses_;
  std::set<jobs::JobId> cancelled_;
  jobs::UnsettledSubmissions unsettled_;
  runtime::ReplyTable<site::TableOutcome> writes_;
  runtime::ReplyTable<site::TableOutcome> reads_;
  jobs::RetryAdvice retry_advice_;
  bool statuses_loaded_ = false;
  bool table_reachable_ = true;
  bool draining_ = false;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_JOB_FRONT_H_
