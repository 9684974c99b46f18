/// @file
/// Instances that serve jobs, run in this process against a table in memory
/// that each reaches over a link of its own.

#ifndef JASMINESPAR_TESTS_JOBSERVER_JOB_SITE_H_
#define JASMINESPAR_TESTS_JOBSERVER_JOB_SITE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "jasminespar/jobserver/job_server.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/standins/tcp_route.h"
#include "jasminespar/standins/watched_table_service.h"

namespace jasminespar::jobserver {

/// A configuration for the site, as its operator writes it.
struct SiteText {
  std::uint64_t version = 1;
  std::size_t queues = 1;  ///< Named queue-0, queue-1 and so on.
  /// Bytes of each queue in the table that do not matter to the instances.
  std::size_t padding = 0;
};

/// Starts no instance by itself. Stops all of them when destroyed.
class JobSite {
 public:
  /// @param instances how many can be started.
  explicit JobSite(std::size_t instances);
  ~JobSite();

  JobSite(const JobSite&) = delete;
  JobSite& operator=(const JobSite&) = delete;

  void StartInstance(std::size_t instance);

  /// Sets the time after which nothing may start in an emptied data centre, for
  /// instances that are started later; zero: none is emptied.
  void SetEvacuateWithin(Duration within) { evacuate_within_ = within; }

  /// Sets the retention of ended jobs, for instances that are started later.
  void SetStatusRetention(Duration retention) { retention_ = retention; }

  /// Sets the faults of the link from an instance to the table.
  void SetTableLink(std::size_t instance, const standins::LinkFaults& faults);

  /// @return bytes that crossed the link so far.
  [[nodiscard]] std::uint64_t TableLinkBytes(std::size_t instance);

  void PutConfiguration(const SiteText& text);
  void DropHistory();

  /// Writes an entry into the platform's list of workers.
  void PutWorkerEntry(const std::string& name, const std::string& text);

  void EmptyDataCentre(const std::string& name);
  void TakeDataCentreBack(const std::string& name);

  /// @return whether the instance's metrics had this line before the time ran
  ///     out.
  [[nodiscard]] bool WaitForMetric(std::size_t instance,
                                   const std::string& line);

  /// @return whether the instance served the queue before the time ran out.
  [[nodiscard]] bool WaitUntilServed(std::size_t instance,
                                     const std::string& queue);

  /// @return the status of a request to the queue; 0 without a response.
  [[nodiscard]] int StatusOf(std::size_t instance, const std::string& queue);

  /// Sends a caller's request.
  /// @return the status of its response; 0 without one.
  [[nodiscard]] int Call(std::size_t instance, const std::string& method,
                         const std::string& target, std::string body = {});

  /// @return how many rows of the table have the text in their key.
  [[nodiscard]] std::size_t RowsNaming(const std::string& text);

 private:
  struct Ports {
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t metrics = 0;
    std::uint16_t peers = 0;
    std::uint16_t table = 0;  ///< Of the link to the table.
  };

  [[nodiscard]] Ports PortsOf(std::size_t instance) const;
  [[nodiscard]] std::string MetricsOf(std::size_t instance) const;
  void RunOnTableDuty(const std::function<void()>& action);

  std::uint16_t first_port_;
  Duration evacuate_within_{};
  Duration retention_ = 120s;
  runtime::Duty table_duty_{"table"};
  std::unique_ptr<standins::WatchedTableService> table_;
  std::vector<std::shared_ptr<standins::TcpRoute>> links_;
  std::vector<std::unique_ptr<JobServer>> servers_;
  std::vector<std::thread> threads_;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_TESTS_JOBSERVER_JOB_SITE_H_
