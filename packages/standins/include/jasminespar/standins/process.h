/// @file
/// Child processes of a test, ended with their owner.

#ifndef JASMINESPAR_STANDINS_PROCESS_H_
#define JASMINESPAR_STANDINS_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// A started program; the destructor kills it and waits for its end.
class Process {
 public:
  /// @param arguments program path first.
  /// @param output file that takes standard output and standard error.
  /// @throws std::system_error when the program cannot be started.
  Process(const std::vector<std::string>& arguments, const std::string& output);
  ~Process();

  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal; does nothing once the program has ended.
  void Signal(int signal);

  /// @return the wait status if the program ends within `timeout`.
  std::optional<int> WaitForEnd(Duration timeout);

  [[nodiscard]] bool running();
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  /// Collects the end of the program if it has ended.
  void Collect(bool wait);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_PROCESS_H_
