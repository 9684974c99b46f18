/// @file
/// One instance that serves jobs, as a process of its own, with the table
/// service that it needs, and what the system says of it.

#ifndef JASMINESPAR_TESTS_HOSTILE_CLIENTS_SERVED_PROCESS_H_
#define JASMINESPAR_TESTS_HOSTILE_CLIENTS_SERVED_PROCESS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "hostile_clients/platform_table.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/standins/process.h"

namespace jasminespar::hostile_clients {

/// The ports of an instance that clients may reach.
struct Ports {
  std::uint16_t callers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t metrics = 0;
  std::uint16_t peers = 0;
};

/// The instance is killed when this is destroyed.
class ServedProcess {
 public:
  /// @param memory_mib what its settings say that the machine has.
  /// @param max_connections of callers.
  ServedProcess(std::size_t memory_mib, std::size_t max_connections);
  ~ServedProcess();

  ServedProcess(const ServedProcess&) = delete;
  ServedProcess& operator=(const ServedProcess&) = delete;

  [[nodiscard]] const Ports& ports() const { return ports_; }

  [[nodiscard]] bool lives() { return process_->running(); }

  /// @return the most memory that the process had at once, in KiB.
  [[nodiscard]] std::size_t PeakMemoryKib() const;

  [[nodiscard]] std::size_t OpenDescriptors() const;

  /// Submits a job until it is accepted.
  /// @return whether it was, by one of the attempts.
  [[nodiscard]] bool AnswersOrdinaryRequest();

  /// @return the status of a request; 0 without a response.
  [[nodiscard]] int Ask(std::uint16_t port, const std::string& method,
                        const std::string& target, const std::string& body);

 private:
  std::string folder_;
  std::uint16_t first_port_;
  Ports ports_;
  runtime::Duty table_duty_{"table"};
  PlatformTable table_;
  std::optional<standins::Process> process_;
  std::uint64_t last_job_ = 0;
};

}  // namespace jasminespar::hostile_clients

#endif  // JASMINESPAR_TESTS_HOSTILE_CLIENTS_SERVED_PROCESS_H_
