/// @file
/// A site of real processes on this machine.

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
  std::uint64_t seed = 1;
  Duration worker_lease = 3s;
  bool compare_epochs = true;
  std::string extra_settings;  ///< Appended to the INI of each instance.
};

/// Stand-ins and instances; the destructor ends all that was started and
/// removes the folder unless `KeepFolder` was called. Use on one thread.
class Site {
 public:
  /// Plans the site and starts the stand-ins.
  /// @throws std::exception when one of them does not start.
  explicit Site(const SiteOptions& options);
  ~Site();

  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  [[nodiscard]] const SitePlan& plan() const { return plan_; }
  [[nodiscard]] const std::string& folder() const { return folder_; }
  void KeepFolder() { keep_folder_ = true; }

  void StartInstance(std::size_t index);
  void StartAllInstances();

  /// @return whether the instance said that it is ready within `timeout`.
  [[nodiscard]] bool WaitUntilReady(std::size_t index, Duration timeout);
  [[nodiscard]] bool WaitUntilAllReady(Duration timeout);

  /// The process of an instance that was started.
  [[nodiscard]] Process& instance(std::size_t index);

  /// Kills an instance at once and waits for its end.
  void KillInstance(std::size_t index);

  /// Tries each instance in turn until one accepts the note.
  /// @return the revision, or nothing and the last response in `fault`.
  std::optional<std::uint64_t> ApplyReleaseNote(const nlohmann::json& note,
                                                std::string& fault);

  /// @return whether every instance shows `revision` or higher in time.
  [[nodiscard]] bool WaitForRevision(std::uint64_t revision, Duration timeout);

  void SetStoreFault(const nlohmann::json& fault) const;
  void SetListLag(Duration lag) const;
  void SetLinkFault(const std::string& prefix, nlohmann::json fault) const;
  void SetWorkerFault(WorkerId worker, const nlohmann::json& fault) const;
  void RestartWorker(WorkerId worker) const;
  void SetLeaving(const std::vector<WorkerId>& leaving) const;

  /// @return the workers' own records: `GET /admin/runs` of all of them.
  [[nodiscard]] nlohmann::json Runs() const;

  /// @return of the free accelerators, the share on partly occupied workers;
  ///     0 when none is free.
  [[nodiscard]] double Fragmentation() const;

 private:
  void StartStandins();
  void Start(const std::string& name,
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
