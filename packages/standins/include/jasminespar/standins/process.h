/// @file
/// Child processes, killed when their owner is destroyed.

#ifndef JASMINESPAR_STANDINS_PROCESS_H_
#define JASMINESPAR_STANDINS_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// A running program; the destructor kills it and waits until it has ended.
class Process {
 public:
  /// @param arguments program path first.
  /// @param output file to which standard output and standard error are
  ///     appended.
  /// @throws std::system_error when the program cannot be started.
  Process(const std::vector<std::string>& arguments, const std::string& output);
  ~Process();

  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal unless the program has ended.
  void Signal(int signal);

  /// @return the wait status if the program ends within `timeout`, otherwise
  ///     nothing.
  std::optional<int> WaitForEnd(Duration timeout);

  [[nodiscard]] bool running();
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  /// Reads the wait status if the program has ended.
  /// @param wait block until it has.
  void Reap(bool wait);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_PROCESS_H_
