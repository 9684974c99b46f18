#include "jasminespar/standins/process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>
#include <utility>

extern char** environ;

namespace jasminespar::standins {

namespace {

/// Spawns the child with an empty signal mask; otherwise it would inherit the
/// signals that RunUntilSignal blocks.
class SpawnAttributes {
 public:
  SpawnAttributes() {
    posix_spawnattr_init(&attributes_);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes_, &none);
    posix_spawnattr_setflags(&attributes_, POSIX_SPAWN_SETSIGMASK);
  }
  ~SpawnAttributes() { posix_spawnattr_destroy(&attributes_); }
  SpawnAttributes(const SpawnAttributes&) = delete;
  SpawnAttributes& operator=(const SpawnAttributes&) = delete;
  [[nodiscard]] const posix_spawnattr_t* get() const { return &attributes_; }

 private:
  posix_spawnattr_t attributes_{};
};

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& output) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  const SpawnAttributes attributes;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, argv[0], &actions, attributes.get(),
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), arguments[0]);
  }
}

Process::~Process() {
  if (pid_ < 0 || status_) return;
  Signal(SIGKILL);
  Reap(true);
}

Process::Process(Process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(other.status_) {}

Process& Process::operator=(Process&& other) noexcept {
  std::swap(pid_, other.pid_);
  std::swap(status_, other.status_);
  return *this;
}

void Process::Signal(int signal) {
  if (running()) kill(pid_, signal);
}

bool Process::running() {
  if (pid_ >= 0 && !status_) Reap(false);
  return pid_ >= 0 && !status_;
}

std::optional<int> Process::WaitForEnd(Duration timeout) {
  if (!running()) return status_;
  const int descriptor = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
  if (descriptor >= 0) {
    pollfd event{descriptor, POLLIN, 0};
    poll(&event, 1, static_cast<int>(ToMilliseconds(timeout)));
    close(descriptor);
  }
  Reap(false);
  return status_;
}

void Process::Reap(bool wait) {
  int status = 0;
  if (waitpid(pid_, &status, wait ? 0 : WNOHANG) == pid_) status_ = status;
}

}  // namespace jasminespar::standins
