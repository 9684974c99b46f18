/// @file
/// Duty telemetry: writes log lines to stdout in blocks, and serves the
/// metrics.

#ifndef JASMINESPAR_JOBSERVER_TELEMETRY_WRITER_H_
#define JASMINESPAR_JOBSERVER_TELEMETRY_WRITER_H_

#include <boost/asio/steady_timer.hpp>
#include <string>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/http/server.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Runs on its duty's thread only.
class TelemetryWriter {
 public:
  /// @throws std::exception when the address cannot be bound.
  TelemetryWriter(runtime::Duty& duty, const configuration::Address& address,
                  const http::ServerLimits& limits,
                  telemetry::Metrics& metrics);

  void Start();
  void Handle(ToTelemetry message);

  /// Writes the buffered lines. From outside the duty, call it only after the
  /// duty has stopped.
  void Flush();

 private:
  telemetry::Metrics& metrics_;
  http::Server server_;
  boost::asio::steady_timer flush_timer_;
  bool flush_scheduled_ = false;
  std::string block_;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_TELEMETRY_WRITER_H_
