/// @file
/// An instance that serves calls: its duties and the rings between them.

#ifndef JASMINESPAR_DAEMON_INSTANCE_H_
#define JASMINESPAR_DAEMON_INSTANCE_H_

#include <memory>

#include "jasminespar/settings/daemon_settings.h"

namespace jasminespar::daemon {

class Instance {
 public:
  /// Binds all sockets.
  /// @throws std::exception when an address cannot be bound.
  explicit Instance(const settings::DaemonSettings& settings);
  ~Instance();

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Starts every duty, waits for SIGTERM or SIGINT, then shuts down: reports
  /// not ready, hands its cells over and completes the requests in progress,
  /// within `shutdown_grace`.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_INSTANCE_H_
