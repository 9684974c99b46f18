/// @file
/// One instance that serves jobs: its duties and the rings between them.

#ifndef JASMINESPAR_JOBSERVER_JOB_SERVER_H_
#define JASMINESPAR_JOBSERVER_JOB_SERVER_H_

#include <memory>
#include <string>

#include "jasminespar/settings/job_server_settings.h"
#include "jasminespar/site/codec.h"

namespace jasminespar::jobserver {

/// Runs from construction to the end of `Run`.
class JobServer {
 public:
  /// Binds all sockets.
  /// @param settings_path read again on SIGHUP.
  /// @throws std::exception when an address cannot be bound.
  JobServer(const settings::JobServerSettings& settings,
            const std::string& settings_path, const site::SiteCodec& codec);
  ~JobServer();

  JobServer(const JobServer&) = delete;
  JobServer& operator=(const JobServer&) = delete;

  /// Starts every duty, waits for SIGTERM or SIGINT, then leaves: not ready
  /// first, the cell given away, and every request that was read answered.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_JOB_SERVER_H_
