/// @file
/// The rings between the duties of an instance that serves jobs. Private to
/// this package.

#ifndef JASMINESPAR_JOBSERVER_SRC_JOB_RINGS_H_
#define JASMINESPAR_JOBSERVER_SRC_JOB_RINGS_H_

#include <cstddef>

#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/channel.h"

namespace jasminespar::jobserver {

/// Each is named after its producer and its consumer.
struct JobRings {
  explicit JobRings(std::size_t capacity)
      : front_to_store(capacity),
        front_to_peers(capacity),
        front_to_telemetry(capacity),
        store_to_front(capacity),
        store_to_dispatch(capacity),
        store_to_peers(capacity),
        store_to_telemetry(capacity),
        peers_to_store(capacity),
        peers_to_dispatch(capacity),
        peers_to_front(capacity),
        peers_to_configuration(capacity),
        peers_to_telemetry(capacity),
        configuration_to_front(capacity),
        configuration_to_dispatch(capacity),
        configuration_to_store(capacity),
        configuration_to_peers(capacity),
        configuration_to_telemetry(capacity),
        dispatch_to_store(capacity),
        dispatch_to_workers(capacity),
        dispatch_to_peers(capacity),
        dispatch_to_telemetry(capacity),
        workers_to_dispatch(capacity),
        main_to_front(capacity),
        main_to_dispatch(capacity),
        main_to_telemetry(capacity) {}
  runtime::Channel<FrontToStore> front_to_store;
  runtime::Channel<ToPeers> front_to_peers;
  runtime::Channel<ToTelemetry> front_to_telemetry;
  runtime::Channel<ToFront> store_to_front;
  runtime::Channel<ToDispatch> store_to_dispatch;
  runtime::Channel<ToPeers> store_to_peers;
  runtime::Channel<ToTelemetry> store_to_telemetry;
  runtime::Channel<PeersToStore> peers_to_store;
  runtime::Channel<ToDispatch> peers_to_dispatch;
  runtime::Channel<ToFront> peers_to_front;
  runtime::Channel<ToConfiguration> peers_to_configuration;
  runtime::Channel<ToTelemetry> peers_to_telemetry;
  runtime::Channel<ToFront> configuration_to_front;
  runtime::Channel<ToDispatch> configuration_to_dispatch;
  runtime::Channel<ConfigurationToStore> configuration_to_store;
  runtime::Channel<ToPeers> configuration_to_peers;
  runtime::Channel<ToTelemetry> configuration_to_telemetry;
  runtime::Channel<DispatchToStore> dispatch_to_store;
  runtime::Channel<ToWorkers> dispatch_to_workers;
  runtime::Channel<ToPeers> dispatch_to_peers;
  runtime::Channel<ToTelemetry> dispatch_to_telemetry;
  runtime::Channel<ToDispatch> workers_to_dispatch;
  runtime::Channel<ToFront> main_to_front;
  runtime::Channel<ToDispatch> main_to_dispatch;
  runtime::Channel<ToTelemetry> main_to_telemetry;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_SRC_JOB_RINGS_H_
