/// @file
/// An instance that serves jobs: its duties and the rings between them.

#ifndef JASMINESPAR_JOBSERVER_JOB_SERVER_H_
#define JASMINESPAR_JOBSERVER_JOB_SERVER_H_

#include <memory>
#include <string>

#include "jasminespar/settings/job_server_settings.h"
#include "jasminespar/site/codec.h"

namespace jasminespar::jobserver {

/// Binds its sockets on construction and serves until `Run` returns.
class JobServer {
 public:
  /// Binds all sockets.
  /// @param settings_path file that is read again on SIGHUP and when its
  /// content
  ///     changes.
  /// @throws std::exception when an address cannot be bound.
  JobServer(const settings::JobServerSettings& settings,
            const std::string& settings_path, const site::SiteCodec& codec);
  ~JobServer();

  JobServer(const JobServer&) = delete;
  JobServer& operator=(const JobServer&) = delete;

  /// Starts every duty, waits for SIGTERM or SIGINT, then shuts down: reports
  /// not ready, releases the cell, and answers every request that was read, as
  /// far as the shutdown grace allows.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_JOB_SERVER_H_
