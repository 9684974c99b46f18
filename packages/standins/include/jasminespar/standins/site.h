/// @file
/// A site of real processes on the local machine.

#ifndef JASMINESPAR_STANDINS_SITE_H_
#define JASMINESPAR_STANDINS_SITE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/standins/process.h"
#include "jasminespar/standins/site_plan.h"

namespace jasminespar::standins {

struct SiteOptions {
  SiteKind kind = SiteKind::kSmall;
  std::uint64_t seed = 1;  ///< Of the proxy's random choices.
  Duration worker_lease = 3s;
  bool compare_epochs = true;  ///< Workers refuse lower epochs.
  std::string extra_settings;  ///< Appended to the INI of each instance.
};

/// Stand-ins and instances of a site. The destructor ends all processes and
/// removes the folder of logs and settings unless `KeepFolder` was called. Use
/// on one thread. Setters of faults throw std::runtime_error when the stand-in
/// does not accept the fault.
class Site {
 public:
  /// Plans the site and starts the stand-ins.
  /// @throws std::exception when a stand-in does not start.
  explicit Site(const SiteOptions& options);
  ~Site();

  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  [[nodiscard]] const SitePlan& plan() const { return plan_; }
  [[nodiscard]] const std::string& folder() const { return folder_; }
  void KeepFolder() { keep_folder_ = true; }

  /// Starts an instance, or replaces its process by a new one.
  /// @param index in plan().instances, as in all methods.
  void StartInstance(std::size_t index);
  void StartAllInstances();

  /// @return whether the instance became ready within `timeout`.
  [[nodiscard]] bool WaitUntilReady(std::size_t index, Duration timeout);
  /// @return whether all started instances became ready within `timeout`.
  [[nodiscard]] bool WaitUntilAllReady(Duration timeout);

  /// @throws std::out_of_range when the instance was never started.
  [[nodiscard]] Process& instance(std::size_t index);

  /// Sends SIGKILL to an instance and waits until it has ended.
  void KillInstance(std::size_t index);

  /// Sends a release note to each instance in turn until one accepts it.
  /// @param error receives the body of the last refusal.
  /// @return the note's revision, or nothing when no instance accepted it.
  std::optional<std::uint64_t> ApplyReleaseNote(const nlohmann::json& note,
                                                std::string& error);

  /// @return whether every started instance reported `revision` or a higher one
  ///     within `timeout`.
  [[nodiscard]] bool WaitForRevision(std::uint64_t revision, Duration timeout);

  /// @param fault body of the platform's `POST /admin/faults`.
  void SetStoreFault(const nlohmann::json& fault) const;
  /// @param lag until the platform serves a changed list.
  void SetListLag(Duration lag) const;
  /// @param prefix of the names of the proxy's routes.
  /// @param fault keys of ParseLinkFaults.
  void SetLinkFault(const std::string& prefix, nlohmann::json fault) const;
  /// @param fault body of the endpoint's `POST /admin/faults`.
  void SetWorkerFault(WorkerId worker, const nlohmann::json& fault) const;
  void RestartWorker(WorkerId worker) const;
  /// Posts a list to the platform in which only these workers are leaving.
  void SetLeaving(const std::vector<WorkerId>& leaving) const;

  /// @return the runs that the workers recorded, as `GET /admin/runs` returns
  ///     them.
  /// @throws std::runtime_error when there is no response.
  [[nodiscard]] nlohmann::json Runs() const;

  /// @return the share of the free accelerators that are on partly occupied
  ///     workers, 0 to 1; 0 when none is free or there is no response.
  [[nodiscard]] double Fragmentation() const;

 private:
  void StartStandins();
  void StartStandin(const std::string& name,
                    const std::vector<std::string>& arguments);

  SiteOptions options_;
  SitePlan plan_;
  std::string folder_;
  bool keep_folder_ = false;
  std::map<std::string, Process> standins_;
  std::map<std::size_t, Process> instances_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_SITE_H_
